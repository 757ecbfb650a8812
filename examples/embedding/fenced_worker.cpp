// A worker that obeys one owner at a time and runs a keyed request once, with an owner that pauses past its lease.

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

const char *text(bool yes)
{
    return yes ? "yes" : "no";
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
    HeldLease held(lease);

    if (gate.request(first, firstEpoch, now, now)) {
        held.renew(now);
    }
    std::printf("first owner may command: %s\n", text(held.isValidAt(now) && gate.admit(first, firstEpoch, now)));

    now += seconds(5);
    std::printf("second owner gets the worker during the lease: %s\n",
                text(gate.request(second, secondEpoch, now, now).has_value()));
    now += seconds(6); // The first owner is paused, and its lease runs out.
    std::printf("second owner gets it afterwards: %s\n", text(gate.request(second, secondEpoch, now, now).has_value()));
    std::printf("first owner's late command is admitted: %s\n", text(gate.admit(first, firstEpoch, now).has_value()));
}

void showKeys()
{
    IdempotencyTable table;
    const WallTime now{std::chrono::hours(24 * 365)};
    const IdempotencyKey key{now, "billing-run-12"};

    std::printf("first attempt may run: %s\n", text(table.begin(key, now).state == KeyState::Started));
    table.finish(key, base::Verdict::Ran, "42 invoices");
    const KeyStatus resend = table.begin(key, now + seconds(30));
    std::printf("resend may run: %s, it learns: %s\n", text(resend.state == KeyState::Started), resend.answer.c_str());
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
