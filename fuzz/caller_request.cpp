// Fuzzes the parser of callers' requests. The input holds the request target, the method and header values, one per
// line. A request is refused with a 4xx status or parsed into one within the limits.

#include "fuzz/target.h"
#include "http/proxy_request.h"

#include <algorithm>

using namespace yuccawheel;

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    std::string_view rest = fuzz::view(data, size);
    const auto line = [&] {
        const std::string_view result = rest.substr(0, rest.find('\n'));
        rest.remove_prefix(std::min(rest.size(), result.size() + 1));
        return result;
    };
    const std::string_view target = line();
    const bool safe = line() == "GET";
    http::CallerHeaders headers;
    headers.repeatable = line();
    headers.key = line();
    headers.urgency = line();
    headers.timeout = line();
    headers.caller = line();
    const http::CallerTimeouts timeouts;
    const auto request = http::parseCallerRequest(target, safe, headers, timeouts);
    if (!request) {
        fuzz::require(request.error().status >= 400 && request.error().status < 500);
        return 0;
    }
    fuzz::require(!request->service.empty() && request->rest.starts_with('/'));
    fuzz::require(request->timeout.count() > 0 && request->timeout <= timeouts.maxTimeout);
    fuzz::require(request->repeatable == request->key.empty());
    return 0;
}
