#include "servers/http1/process_limits.h"

#include <algorithm>
#include <limits>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/sysinfo.h>

namespace firefly {

namespace {

std::size_t
LimitOf(int aResource)
{
  constexpr auto kUnlimited = std::numeric_limits<std::size_t>::max();
  rlimit limit{};
  if (getrlimit(static_cast<__rlimit_resource>(aResource), &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return kUnlimited;
  }
  return static_cast<std::size_t>(limit.rlim_cur);
}

} // namespace

std::size_t
AvailableMemoryBytes()
{
  auto bytes = std::min(LimitOf(RLIMIT_AS), LimitOf(RLIMIT_DATA));
  struct sysinfo machine = {};
  if (sysinfo(&machine) == 0) {
    bytes = std::min(bytes,
                     static_cast<std::size_t>(machine.totalram) *
                       static_cast<std::size_t>(machine.mem_unit));
  }
  return bytes;
}

std::size_t
DescriptorLimit()
{
  return LimitOf(RLIMIT_NOFILE);
}

void
ReturnFreedBlocks()
{
  // Bodies of usual requests stay below this size and need no system call.
  constexpr int kLargeBlockBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

} // namespace firefly
