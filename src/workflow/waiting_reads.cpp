#include "workflow/waiting_reads.h"

#include <utility>
#include <vector>

namespace yuccawheel::workflow
{

namespace
{

constexpr std::size_t MaxReads = 10'000; ///< A few hundred bytes each.

} // namespace

bool WaitingReads::add(JobKey job, base::TimePoint until, Answer answer)
{
    if (reads_.size() >= MaxReads) {
        return false;
    }
    reads_.emplace(job, Read{until, std::move(answer)});
    return true;
}

void WaitingReads::onJobEnded(JobKey job)
{
    const auto [begin, end] = reads_.equal_range(job);
    answerRange(begin, end);
}

void WaitingReads::expire(base::TimePoint now)
{
    std::vector<Answer> due;
    for (auto read = reads_.begin(); read != reads_.end();) {
        if (read->second.until <= now) {
            due.push_back(std::move(read->second.answer));
            read = reads_.erase(read);
        } else {
            ++read;
        }
    }
    for (const Answer &answer : due) {
        answer();
    }
}

void WaitingReads::answerAll()
{
    answerRange(reads_.begin(), reads_.end());
}

// An answer may add reads, so these are removed first.
void WaitingReads::answerRange(Reads::iterator begin, Reads::iterator end)
{
    std::vector<Answer> answers;
    for (auto read = begin; read != end; ++read) {
        answers.push_back(std::move(read->second.answer));
    }
    reads_.erase(begin, end);
    for (const Answer &answer : answers) {
        answer();
    }
}

} // namespace yuccawheel::workflow
