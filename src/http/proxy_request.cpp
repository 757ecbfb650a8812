#include "http/proxy_request.h"

#include <algorithm>
#include <charconv>

namespace yuccawheel::http
{

namespace
{

constexpr std::string_view PathPrefix = "/serve/";
constexpr std::size_t MaxServiceLength = 64;
constexpr std::size_t MaxKeyLength = 128;
constexpr std::size_t MaxCallerLength = 64;
constexpr unsigned NotFound = 404;
constexpr unsigned BadRequest = 400;

bool isVisible(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 0x7f; });
}

tl::unexpected<CallerRequestError> makeError(std::string_view message, unsigned status = BadRequest)
{
    return tl::unexpected(CallerRequestError{status, message});
}

bool parseTarget(std::string_view target, CallerRequest &request)
{
    if (!target.starts_with(PathPrefix) || !isVisible(target)) {
        return false;
    }
    target.remove_prefix(PathPrefix.size());
    const auto end = target.find('/');
    request.service = target.substr(0, end);
    request.rest = end == std::string_view::npos ? std::string_view("/") : target.substr(end);
    return !request.service.empty() && request.service.size() <= MaxServiceLength
        && request.service.find_first_of("?#%") == std::string_view::npos;
}

bool parseRepeatable(std::string_view text, bool safeMethod, bool &repeatable)
{
    repeatable = text.empty() ? safeMethod : text == "yes";
    return text.empty() || text == "yes" || text == "no";
}

bool parseUrgency(std::string_view text, routing::Urgency &urgency)
{
    if (text.empty() || text == "normal") {
        urgency = routing::Urgency::Normal;
    } else if (text == "urgent") {
        urgency = routing::Urgency::Urgent;
    } else if (text == "bulk") {
        urgency = routing::Urgency::Bulk;
    } else {
        return false;
    }
    return true;
}

bool parseTimeout(std::string_view text, const CallerTimeouts &timeouts, std::chrono::milliseconds &timeout)
{
    timeout = timeouts.defaultTimeout;
    if (text.empty()) {
        return true;
    }
    std::int64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    timeout = std::chrono::milliseconds(value);
    return status == std::errc() && end == text.data() + text.size() && value > 0 && timeout <= timeouts.maxTimeout;
}

} // namespace

tl::expected<CallerRequest, CallerRequestError> parseCallerRequest(std::string_view target,
                                                                   bool safeMethod,
                                                                   const CallerHeaders &headers,
                                                                   const CallerTimeouts &timeouts)
{
    CallerRequest request;
    if (!parseTarget(target, request)) {
        return makeError("the path must be /serve/SERVICE/REST", NotFound);
    }
    if (!parseRepeatable(headers.repeatable, safeMethod, request.repeatable)) {
        return makeError("Yw-Repeatable must be yes or no");
    }
    if (headers.key.size() > MaxKeyLength || !isVisible(headers.key)) {
        return makeError("Yw-Key must have 1 to 128 visible ASCII characters");
    }
    if (!request.repeatable && headers.key.empty()) {
        return makeError("a request that is not repeatable needs Yw-Key");
    }
    if (!parseUrgency(headers.urgency, request.urgency)) {
        return makeError("Yw-Urgency must be urgent, normal or bulk");
    }
    if (!parseTimeout(headers.timeout, timeouts, request.timeout)) {
        return makeError("Yw-Timeout-Ms must be a whole number of milliseconds above zero and within the limit");
    }
    if (headers.caller.size() > MaxCallerLength || !isVisible(headers.caller)) {
        return makeError("Yw-Caller must have 1 to 64 visible ASCII characters");
    }
    request.caller = headers.caller;
    request.key = request.repeatable ? std::string_view() : headers.key;
    return request;
}

} // namespace yuccawheel::http
