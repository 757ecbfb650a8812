#pragma once

#include "http/client.h"
#include "workflow/manager_port.h"

#include <cstdint>
#include <string>

namespace yuccawheel::platform
{

/// Answers of workers and of the eligibility service. What can't be read is logged. An unreadable row of a list is
/// skipped, so that it does not take the others with it.

workflow::OrderAnswer parseOrderAnswer(const std::string &worker,
                                       const tl::expected<http::ClientResponse, http::CallError> &answer);
workflow::PollAnswer parsePollAnswer(const std::string &worker,
                                     std::uint64_t number,
                                     const tl::expected<http::ClientResponse, http::CallError> &answer);
/// Returns nothing if the answer as a whole is unreadable or is an error.
workflow::EligibilityRows parseEligibilityAnswer(const std::string &step,
                                                 const tl::expected<http::ClientResponse, http::CallError> &answer);

} // namespace yuccawheel::platform
