#pragma once

#include "http/call_pool.h"
#include "workflow/platform_interface.h"

#include <boost/asio/io_context.hpp>

namespace yuccawheel::platform
{

/// Client of the platform's eligibility service.
class EligibilityClient : public workflow::EligibilityService
{
public:
    EligibilityClient(boost::asio::io_context &io, const settings::Endpoint &service);

    void query(const std::string &step,
               const std::vector<std::string> &workers,
               std::chrono::milliseconds timeout,
               std::function<void(workflow::EligibilityRows)> done) override;

private:
    http::CallPool pool_;
};

} // namespace yuccawheel::platform
