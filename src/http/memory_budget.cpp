#include "http/memory_budget.h"

#include <algorithm>
#include <utility>

namespace yuccawheel::http
{

MemoryShare::MemoryShare(std::shared_ptr<MemoryBudget> budget) : budget_(std::move(budget))
{
}

MemoryShare::~MemoryShare()
{
    release();
}

bool MemoryShare::resize(std::size_t messageBytes)
{
    const std::size_t wanted = messageBytes - std::min(messageBytes, MemoryBudget::FreeBytes);
    const std::size_t others = budget_->used_ - bytes_;
    if (wanted > bytes_ && (others > budget_->limit_ || wanted > budget_->limit_ - others)) {
        return false;
    }
    budget_->used_ = others + wanted;
    bytes_ = wanted;
    return true;
}

void MemoryShare::release()
{
    budget_->used_ -= std::exchange(bytes_, 0);
}

} // namespace yuccawheel::http
