#include "servers/metrics/metrics.h"

#include <chrono>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace firefly {

namespace {

constexpr double kMicrosPerSecond = 1e6;

double
SecondsOf(const timeval& aTime)
{
  return static_cast<double>(aTime.tv_sec) +
         static_cast<double>(aTime.tv_usec) / kMicrosPerSecond;
}

// CPU time in user and kernel mode, in seconds.
double
CpuSeconds()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return SecondsOf(usage.ru_utime) + SecondsOf(usage.ru_stime);
}

// Resident memory, in bytes.
double
ResidentBytes()
{
  std::ifstream in("/proc/self/statm");
  double total = 0;
  double resident = 0;
  in >> total >> resident;
  return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

// The wall-clock time now, in seconds since 1970.
double
NowSeconds()
{
  return std::chrono::duration<double>(
           std::chrono::system_clock::now().time_since_epoch())
    .count();
}

} // namespace

void
AddProcessMetrics(MetricRegistry& aRegistry)
{
  auto& cpu =
    aRegistry
      .Counters({ .name = "process_cpu_seconds_total",
                  .help = "Processor time of the process, in seconds." })
      .With({});
  auto& memory =
    aRegistry
      .Gauges({ .name = "process_resident_memory_bytes",
                .help = "Memory of the process that is in RAM, in bytes." })
      .With({});
  aRegistry
    .Gauges({ .name = "process_start_time_seconds",
              .help = "Start of the process, in seconds since 1970." })
    .With({})
    .Set(NowSeconds());
  aRegistry.OnExpose([&cpu, &memory] {
    cpu.Add(CpuSeconds() - cpu.Value());
    memory.Set(ResidentBytes());
  });
}

} // namespace firefly
