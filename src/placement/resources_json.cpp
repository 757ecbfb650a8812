#include "placement/resources_json.h"

#include <nlohmann/json.hpp>

namespace yuccawheel::placement
{

void to_json(nlohmann::json &object, const Resources &amount)
{
    object = {{"milli_cpu", amount.milliCpu}, {"memory_mib", amount.memoryMib}, {"accelerators", amount.accelerators}};
}

} // namespace yuccawheel::placement
