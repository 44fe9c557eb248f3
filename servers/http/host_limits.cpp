#include "servers/http/host_limits.h"

#include <algorithm>
#include <limits>

#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

namespace firefly {

namespace {

std::size_t
SoftLimit(int aResource)
{
  rlimit limit{};
  if (getrlimit(static_cast<__rlimit_resource>(aResource), &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return limit.rlim_cur;
}

} // namespace

std::size_t
HostMemoryBytes()
{
  const auto machine = static_cast<std::size_t>(sysconf(_SC_PHYS_PAGES)) *
                       static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
  return std::min({ machine, SoftLimit(RLIMIT_AS), SoftLimit(RLIMIT_DATA) });
}

std::size_t
DescriptorLimit()
{
  return SoftLimit(RLIMIT_NOFILE);
}

void
ReturnFreedBlocks()
{
  // Bodies of usual requests stay below this size and need no system call.
  constexpr int kLargeBlockBytes = 128 << 10;
  mallopt(M_MMAP_THRESHOLD, kLargeBlockBytes);
}

} // namespace firefly
