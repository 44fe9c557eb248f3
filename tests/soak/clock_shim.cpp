// A library for LD_PRELOAD that shifts the wall clock of a process. Only the
// CLOCK_REALTIME of clock_gettime is shifted. The shift in nanoseconds is read
// from the file that FIREFLY_CLOCK_SHIFT_FILE names.

#include <cstdint>
#include <cstdlib>
#include <ctime>

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

namespace {

constexpr std::int64_t kNanosPerSecond = 1'000'000'000;

const std::int64_t*
MapShift()
{
  const char* name = std::getenv("FIREFLY_CLOCK_SHIFT_FILE");
  const int file = name == nullptr ? -1 : open(name, O_RDONLY | O_CLOEXEC);
  if (file < 0) {
    return nullptr;
  }
  void* memory =
    mmap(nullptr, sizeof(std::int64_t), PROT_READ, MAP_SHARED, file, 0);
  close(file);
  return memory == MAP_FAILED ? nullptr : static_cast<std::int64_t*>(memory);
}

} // namespace

extern "C" int
clock_gettime(clockid_t aClock, timespec* aTime)
{
  static const std::int64_t* shift = MapShift();
  const auto result =
    static_cast<int>(syscall(SYS_clock_gettime, aClock, aTime));
  if (result == 0 && aClock == CLOCK_REALTIME && shift != nullptr) {
    const auto nanos = aTime->tv_sec * kNanosPerSecond + aTime->tv_nsec +
                       __atomic_load_n(shift, __ATOMIC_RELAXED);
    aTime->tv_sec = nanos / kNanosPerSecond;
    aTime->tv_nsec = nanos % kNanosPerSecond;
  }
  return result;
}
