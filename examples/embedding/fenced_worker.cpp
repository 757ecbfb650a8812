// A worker that accepts commands from one owner at a time, shown with an owner that pauses for longer than its lease,
// and that runs a request with an idempotency key at most once.

#include "base/verdict.h"
#include "coordination/epoch.h"
#include "coordination/fencing_gate.h"
#include "coordination/idempotency_table.h"
#include "coordination/lease.h"

#include <chrono>
#include <cstdio>
#include <string>

using namespace yuccawheel;
using namespace yuccawheel::coordination;
using std::chrono::seconds;

namespace
{

const char *yesOrNo(bool value)
{
    return value ? "yes" : "no";
}

void showFencing()
{
    const LeaseSettings lease{.length = seconds(10)};
    const ProcessId first{1, 1};
    const ProcessId second{2, 1};
    const Epoch firstEpoch{7, 0};
    const Epoch secondEpoch{8, 0};
    base::TimePoint now{std::chrono::hours(1)};
    FencingGate gate(lease);
    HeldLease heldLease(lease);

    if (gate.request(first, firstEpoch, now, now)) {
        heldLease.renew(now);
    }
    std::printf("first owner may command: %s\n",
                yesOrNo(heldLease.isValidAt(now) && gate.admit(first, firstEpoch, now)));

    now += seconds(5);
    std::printf("second owner gets the worker during the lease: %s\n",
                yesOrNo(gate.request(second, secondEpoch, now, now).has_value()));
    now += seconds(6); // The first owner is paused and its lease expires.
    std::printf("second owner gets the worker after the lease: %s\n",
                yesOrNo(gate.request(second, secondEpoch, now, now).has_value()));
    std::printf("first owner's late command is admitted: %s\n",
                yesOrNo(gate.admit(first, firstEpoch, now).has_value()));
}

void showKeys()
{
    IdempotencyTable table;
    const WallTime now{std::chrono::hours(24 * 365)};
    const IdempotencyKey key{now, "billing-run-12"};

    std::printf("first attempt may run: %s\n", yesOrNo(table.begin(key, now).state == KeyState::Started));
    table.finish(key, base::Verdict::Ran, "42 invoices");
    const KeyStatus resend = table.begin(key, now + seconds(30));
    std::printf(
        "resend may run: %s, it learns: %s\n", yesOrNo(resend.state == KeyState::Started), resend.answer.c_str());
    const KeyStatus late = table.begin(key, now + std::chrono::hours(25));
    std::printf("resend after a day learns: %s\n", std::string(toString(late.verdict)).c_str());
}

} // namespace

int main()
{
    showFencing();
    showKeys();
    return 0;
}
