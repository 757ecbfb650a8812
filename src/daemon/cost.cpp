#include "daemon/cost.h"

#include "base/traffic.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <fstream>
#include <sys/resource.h>
#include <unistd.h>

namespace yuccawheel::daemon
{

namespace
{

constexpr std::int64_t BytesPerKib = 1024;

std::chrono::milliseconds cpuTime()
{
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto toDuration = [](const timeval &time) {
        return std::chrono::seconds(time.tv_sec) + std::chrono::microseconds(time.tv_usec);
    };
    return std::chrono::duration_cast<std::chrono::milliseconds>(toDuration(usage.ru_utime)
                                                                 + toDuration(usage.ru_stime));
}

std::int64_t residentKib()
{
    std::ifstream file("/proc/self/statm");
    std::int64_t size = 0;
    std::int64_t resident = 0;
    file >> size >> resident;
    return resident * sysconf(_SC_PAGESIZE) / BytesPerKib;
}

} // namespace

// The incarnation is the Unix time of the process start in milliseconds.
std::string costJson(const protocol::Identity &self)
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto nowMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const base::ControlTraffic &traffic = base::controlTraffic();
    return nlohmann::json{{"node", self.node},
                          {"role", protocol::toString(self.role)},
                          {"zone", self.zone},
                          {"up_ms", nowMs - static_cast<std::int64_t>(self.incarnation)},
                          {"cpu_ms", cpuTime().count()},
                          {"resident_kib", residentKib()},
                          {"sent_bytes", traffic.sentBytes()},
                          {"received_bytes", traffic.receivedBytes()}}
        .dump();
}

} // namespace yuccawheel::daemon
