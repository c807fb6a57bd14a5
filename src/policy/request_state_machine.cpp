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
        /// Nothing was written so far.
        struct Waiting : msm::front::state<> { };
        /// The first attempt that may write is under way.
        struct Attempting : msm::front::state<> { };
        /// An attempt may have run; no answer is known.
        struct Doubtful : msm::front::state<> { };
        /// A further attempt is under way while an earlier one may have run.
        struct Repeating : msm::front::state<> { };
        struct Ran : msm::front::state<> { };
        struct NotRun : msm::front::state<> { };
        struct Unknown : msm::front::state<> { };

        struct IsRepeatable {
            template <typename Event, typename Machine, typename Source, typename Target>
            bool operator()(const Event&, Machine& machine, Source&, Target&) const
            {
                return machine.isRepeatable;
            }
        };

        using initial_state = Waiting;

        // clang-format off
        using transition_table = boost::mpl::vector<
            //   from        event           to          action guard
            Row< Waiting,    AttemptStarted, Attempting, none,  none >,
            Row< Waiting,    GivenUp,        NotRun,     none,  none >,
            Row< Attempting, NothingWritten, Waiting,    none,  none >,
            Row< Attempting, ReportedNotRun,     Waiting,    none,  none >,
            Row< Attempting, ResponseLost,     Doubtful,   none,  none >,
            Row< Attempting, Answered,       Ran,        none,  none >,
            Row< Attempting, GivenUp,        Unknown,    none,  none >,
            Row< Doubtful,   AttemptStarted, Repeating,  none,  IsRepeatable >,
            Row< Doubtful,   GivenUp,        Unknown,    none,  none >,
            Row< Repeating,  NothingWritten, Doubtful,   none,  none >,
            Row< Repeating,  ReportedNotRun,     Doubtful,   none,  none >,
            Row< Repeating,  ResponseLost,     Doubtful,   none,  none >,
            Row< Repeating,  Answered,       Ran,        none,  none >,
            Row< Repeating,  GivenUp,        Unknown,    none,  none >
        >;
        // clang-format on

        template <typename Machine, typename Event> void no_transition(const Event&, Machine&, int) { }

        bool isRepeatable { false };
    };

    using RequestAutomaton = msm::back::state_machine<RequestDefinition>;

    template <typename State> constexpr int numberOf = msm::back::get_state_id<RequestAutomaton::stt, State>::value;

} // namespace

struct RequestStateMachine::Machine {
    RequestAutomaton automaton;
};

RequestStateMachine::RequestStateMachine(bool isRepeatable)
    : machine(std::make_unique<Machine>())
{
    this->machine->automaton.isRepeatable = isRepeatable;
    this->machine->automaton.start();
}

RequestStateMachine::~RequestStateMachine() = default;
RequestStateMachine::RequestStateMachine(RequestStateMachine&&) noexcept = default;

void RequestStateMachine::process(RequestEvent event)
{
    auto& automaton = this->machine->automaton;
    switch (event) {
    case RequestEvent::AttemptStarted:
        automaton.process_event(AttemptStarted {});
        break;
    case RequestEvent::NothingWritten:
        automaton.process_event(NothingWritten {});
        break;
    case RequestEvent::ReportedNotRun:
        automaton.process_event(ReportedNotRun {});
        break;
    case RequestEvent::ResponseLost:
        automaton.process_event(ResponseLost {});
        break;
    case RequestEvent::Answered:
        automaton.process_event(Answered {});
        break;
    case RequestEvent::GivenUp:
        automaton.process_event(GivenUp {});
        break;
    }
}

Outcome RequestStateMachine::outcome() const
{
    const int state = this->machine->automaton.current_state()[0];
    if (state == numberOf<RequestDefinition::Ran>)
        return Outcome::Ran;
    if (state == numberOf<RequestDefinition::Waiting> || state == numberOf<RequestDefinition::NotRun>)
        return Outcome::NotRun;
    return Outcome::Unknown;
}

bool RequestStateMachine::mayAttempt() const
{
    const int state = this->machine->automaton.current_state()[0];
    if (state == numberOf<RequestDefinition::Doubtful>)
        return this->machine->automaton.isRepeatable;
    return state == numberOf<RequestDefinition::Waiting>;
}

} // namespace topaztack
