#include <topaztack/policy/request_state_machine.hpp>

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

TEST_GROUP(RequestStateMachineTest) {};

TEST(RequestStateMachineTest, RequestWithNothingWrittenIsNotRunAndMayBeAttemptedAgain)
{
    RequestStateMachine machine(false);
    machine.process(RequestEvent::AttemptStarted);
    CHECK_TRUE(machine.outcome() == Outcome::Unknown);
    machine.process(RequestEvent::NothingWritten);
    CHECK_TRUE(machine.mayAttempt());
    machine.process(RequestEvent::GivenUp);
    CHECK_TRUE(machine.outcome() == Outcome::NotRun);
}

TEST(RequestStateMachineTest, LostResponseOfANonIdempotentRequestAllowsNoFurtherAttempt)
{
    RequestStateMachine machine(false);
    machine.process(RequestEvent::AttemptStarted);
    machine.process(RequestEvent::ResponseLost);
    CHECK_FALSE(machine.mayAttempt());
    machine.process(RequestEvent::AttemptStarted);
    machine.process(RequestEvent::NothingWritten);
    machine.process(RequestEvent::GivenUp);
    CHECK_TRUE(machine.outcome() == Outcome::Unknown);
}

// A backend server that may or may not have run an attempt: whatever the order of events, `not-run` is stated only if
// no attempt ran, `ran` only if one did, and a non-idempotent request runs at most once.
TEST(RequestStateMachineTest, OutcomesAreCorrectUnderRandomFaults)
{
    CHECK_TRUE(rc::check("outcomes are true", [](bool isIdempotent, const std::vector<std::uint8_t>& faults) {
        RequestStateMachine machine(isIdempotent);
        int runs = 0;
        for (const auto fault : faults) {
            if (!machine.mayAttempt())
                break;
            machine.process(RequestEvent::AttemptStarted);
            switch (fault % 5) {
            case 0:
                machine.process(RequestEvent::NothingWritten);
                break;
            case 1:
                machine.process(RequestEvent::ReportedNotRun);
                break;
            case 2:
                machine.process(RequestEvent::ResponseLost);
                break;
            case 3:
                ++runs;
                machine.process(RequestEvent::ResponseLost);
                break;
            default:
                ++runs;
                machine.process(RequestEvent::Answered);
            }
            RC_ASSERT(!(machine.outcome() == Outcome::NotRun && runs > 0));
            RC_ASSERT(!(machine.outcome() == Outcome::Ran && runs == 0));
        }
        machine.process(RequestEvent::GivenUp);
        RC_ASSERT(!(machine.outcome() == Outcome::NotRun && runs > 0));
        RC_ASSERT(!(machine.outcome() == Outcome::Ran && runs == 0));
        RC_ASSERT(isIdempotent || runs <= 1);
    }));
}
