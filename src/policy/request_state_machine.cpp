#include <topaztack/policy/request_state_machine.hpp>

#include <boost/msm/back/metafunctions.hpp>
#include <boost/msm/back/state_machine.hpp>
#include <boost/msm/front/functor_row.hpp>
#include <boost/msm/front/state_machine_def.hpp>

namespace topaztack {

namespace msm = boost::msm;
using boost::msm::front::none;
using boost::msm::front::Row;

namespace {

    struct AttemptStarted { };
    struct NothingWritten { };
    struct ReportedNotRun { };
    struct ResponseLost { };
    struct Answered { };
    struct GivenUp { };

    struct RequestDefinition : msm::front::state_machine_def<RequestDefinition> {
        /// No attempt can have run so far.
        struct Waiting : msm::front::state<> { };
        /// An attempt is in progress, and no earlier one can have run.
        struct Attempting : msm::front::state<> { };
        /// An attempt may have run; no response was received.
        struct MaybeRan : msm::front::state<> { };
        /// A further attempt is in progress after one that may have run.
        struct Retrying : msm::front::state<> { };
        struct Ran : msm::front::state<> { };
        struct NotRun : msm::front::state<> { };
        struct Unknown : msm::front::state<> { };

        struct IsIdempotent {
            template <typename Event, typename Machine, typename Source, typename Target>
            bool operator()(const Event&, Machine& machine, Source&, Target&) const
            {
                return machine.isIdempotent;
            }
        };

        using initial_state = Waiting;

        // clang-format off
        using transition_table = boost::mpl::vector<
            //   from        event           to          action guard
            Row< Waiting,    AttemptStarted, Attempting, none,  none >,
            Row< Waiting,    GivenUp,        NotRun,     none,  none >,
            Row< Attempting, NothingWritten, Waiting,    none,  none >,
            Row< Attempting, ReportedNotRun, Waiting,    none,  none >,
            Row< Attempting, ResponseLost,   MaybeRan,   none,  none >,
            Row< Attempting, Answered,       Ran,        none,  none >,
            Row< Attempting, GivenUp,        Unknown,    none,  none >,
            Row< MaybeRan,   AttemptStarted, Retrying,   none,  IsIdempotent >,
            Row< MaybeRan,   GivenUp,        Unknown,    none,  none >,
            Row< Retrying,   NothingWritten, MaybeRan,   none,  none >,
            Row< Retrying,   ReportedNotRun, MaybeRan,   none,  none >,
            Row< Retrying,   ResponseLost,   MaybeRan,   none,  none >,
            Row< Retrying,   Answered,       Ran,        none,  none >,
            Row< Retrying,   GivenUp,        Unknown,    none,  none >
        >;
        // clang-format on

        template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

        bool isIdempotent { false };
    };

    using RequestBackEnd = msm::back::state_machine<RequestDefinition>;

    template <typename State> constexpr int stateId = msm::back::get_state_id<RequestBackEnd::stt, State>::value;

} // namespace

struct RequestStateMachine::Machine {
    RequestBackEnd stateMachine;
};

RequestStateMachine::RequestStateMachine(bool isIdempotent)
    : machine(std::make_unique<Machine>())
{
    this->machine->stateMachine.isIdempotent = isIdempotent;
    this->machine->stateMachine.start();
}

RequestStateMachine::~RequestStateMachine() = default;
RequestStateMachine::RequestStateMachine(RequestStateMachine&&) noexcept = default;

void RequestStateMachine::process(RequestEvent event)
{
    auto& stateMachine = this->machine->stateMachine;
    switch (event) {
    case RequestEvent::AttemptStarted:
        stateMachine.process_event(AttemptStarted {});
        break;
    case RequestEvent::NothingWritten:
        stateMachine.process_event(NothingWritten {});
        break;
    case RequestEvent::ReportedNotRun:
        stateMachine.process_event(ReportedNotRun {});
        break;
    case RequestEvent::ResponseLost:
        stateMachine.process_event(ResponseLost {});
        break;
    case RequestEvent::Answered:
        stateMachine.process_event(Answered {});
        break;
    case RequestEvent::GivenUp:
        stateMachine.process_event(GivenUp {});
        break;
    }
}

Outcome RequestStateMachine::outcome() const
{
    const int state = this->machine->stateMachine.current_state()[0];
    if (state == stateId<RequestDefinition::Ran>)
        return Outcome::Ran;
    if (state == stateId<RequestDefinition::Waiting> || state == stateId<RequestDefinition::NotRun>)
        return Outcome::NotRun;
    return Outcome::Unknown;
}

bool RequestStateMachine::mayAttempt() const
{
    const int state = this->machine->stateMachine.current_state()[0];
    if (state == stateId<RequestDefinition::MaybeRan>)
        return this->machine->stateMachine.isIdempotent;
    return state == stateId<RequestDefinition::Waiting>;
}

} // namespace topaztack
