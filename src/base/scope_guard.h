#pragma once

#include <utility>

namespace yuccawheel::base
{

/// Runs a function at the end of the scope unless dismissed.
template <typename Function>
class ScopeGuard
{
public:
    explicit ScopeGuard(Function function) : function_(std::move(function))
    {
    }
    ~ScopeGuard()
    {
        if (active_) {
            function_();
        }
    }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

    void dismiss() noexcept
    {
        active_ = false;
    }

private:
    Function function_;
    bool active_ = true;
};

} // namespace yuccawheel::base
