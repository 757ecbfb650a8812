#include "routing/key_table.h"

#include "base/invariant.h"

namespace yuccawheel::routing
{

KeyTable::KeyTable(KeyTableOptions options) : options_(options)
{
}

// The same holder may ask again after a lost reply and gets the same grant.
KeyReply KeyTable::reserve(std::string_view key,
                           std::uint64_t digest,
                           const KeyHolder &holder,
                           base::TimePoint attemptEnd,
                           base::TimePoint now)
{
    const auto known = records_.find(key);
    if (known != records_.end()) {
        const bool sameHolder = known->second.holder == holder && !known->second.finished;
        return sameHolder ? KeyReply{KeyStatus::Granted, base::Verdict::NotRun, std::nullopt} : find(key, digest);
    }
    if (records_.size() >= options_.maxRecords) {
        return {};
    }
    Record &record = records_[std::string(key)];
    record.digest = digest;
    record.holder = holder;
    record.expiresAt = std::max(attemptEnd, now) + options_.retention;
    expiries_.push_back(Expiry{std::string(key), record.expiresAt});
    return {KeyStatus::Granted, base::Verdict::NotRun, std::nullopt};
}

bool KeyTable::finish(const KeyOutcome &outcome, const KeyHolder &holder, base::TimePoint now)
{
    const auto found = records_.find(outcome.key);
    if (found == records_.end() || found->second.holder != holder || found->second.finished) {
        return false;
    }
    if (outcome.verdict == base::Verdict::NotRun) {
        records_.erase(found);
        return true;
    }
    Record &record = found->second;
    record.finished = true;
    record.verdict = outcome.verdict;
    record.expiresAt = std::max(record.expiresAt, now + options_.retention);
    storeAnswer(outcome.key, record, outcome.answer);
    return true;
}

void KeyTable::addReplicated(const KeyOutcome &outcome, std::uint64_t digest, base::TimePoint now)
{
    if (records_.size() >= options_.maxRecords || records_.contains(outcome.key)) {
        return;
    }
    Record &record = records_[outcome.key];
    record.digest = digest;
    record.finished = true;
    record.verdict = outcome.verdict;
    record.expiresAt = now + options_.retention;
    expiries_.push_back(Expiry{outcome.key, record.expiresAt});
    storeAnswer(outcome.key, record, outcome.answer);
}

KeyReply KeyTable::find(std::string_view key, std::uint64_t digest) const
{
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return {};
    }
    const Record &record = found->second;
    if (record.digest != digest) {
        return {KeyStatus::Conflict, record.verdict, std::nullopt};
    }
    return {KeyStatus::Duplicate, record.verdict, record.answer};
}

// The queue entry is requeued if the record's expiry was extended or the key was removed and reserved again.
void KeyTable::expire(base::TimePoint now)
{
    while (!expiries_.empty() && expiries_.front().at <= now) {
        Expiry expiry = std::move(expiries_.front());
        expiries_.pop_front();
        const auto found = records_.find(expiry.key);
        if (found == records_.end()) {
            continue;
        }
        if (found->second.expiresAt > now) {
            expiry.at = found->second.expiresAt;
            expiries_.push_back(std::move(expiry));
            continue;
        }
        dropAnswer(found->second);
        records_.erase(found);
    }
}

std::uint64_t KeyTable::digestOf(std::string_view key) const
{
    const auto found = records_.find(key);
    return found == records_.end() ? 0 : found->second.digest;
}

std::size_t KeyTable::size() const
{
    return records_.size();
}

void KeyTable::storeAnswer(const std::string &key, Record &record, const std::optional<StoredAnswer> &answer)
{
    if (!answer) {
        return;
    }
    record.answer = answer;
    answerBytes_ += answer->body.size();
    answerOrder_.push_back(key);
    while (answerBytes_ > options_.maxAnswerBytes && !answerOrder_.empty()) {
        const auto oldest = records_.find(answerOrder_.front());
        answerOrder_.pop_front();
        if (oldest != records_.end()) {
            dropAnswer(oldest->second);
        }
    }
}

void KeyTable::dropAnswer(Record &record)
{
    if (record.answer) {
        YW_INVARIANT(answerBytes_ >= record.answer->body.size(), "stored answers are counted once");
        answerBytes_ -= record.answer->body.size();
        record.answer.reset();
    }
}

} // namespace yuccawheel::routing
