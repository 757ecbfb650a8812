#pragma once

#include <algorithm>

namespace yuccawheel::routing
{

/// Token bucket that limits retries to a fraction of the requests, so that retries do not amplify an outage.
class RetryBudget
{
public:
    explicit RetryBudget(double tokensPerRequest) : tokensPerRequest_(tokensPerRequest)
    {
    }

    void recordRequest()
    {
        tokens_ = std::min(tokens_ + tokensPerRequest_, MaxTokens);
    }
    bool tryConsume()
    {
        if (tokens_ < 1.0) {
            return false;
        }
        tokens_ -= 1.0;
        return true;
    }

private:
    static constexpr double MaxTokens = 20.0;

    double tokensPerRequest_;
    double tokens_ = MaxTokens;
};

} // namespace yuccawheel::routing
