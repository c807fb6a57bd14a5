#include <topaztack/base/error.hpp>

#include <array>

namespace topaztack {

namespace {

    struct KindDescription {
        ErrorKind kind;
        std::string_view name;
        std::string_view remedy;
    };

    constexpr std::array descriptions {
        KindDescription {
            ErrorKind::BadRequest, "bad-request", "correct the request as the message says and send it again" },
        KindDescription {
            ErrorKind::RequestTooLarge, "request-too-large", "send a smaller body, or raise [limits] max_body" },
        KindDescription { ErrorKind::UnknownPool, "unknown-pool",
            "name a pool of the accepted document; `topaztack show` prints it" },
        KindDescription { ErrorKind::UnknownTrainer, "unknown-trainer",
            "name a trainer of the accepted document; `topaztack show` prints it" },
        KindDescription { ErrorKind::UnknownPath, "unknown-path", "use one of the paths listed in docs/API.md" },
        KindDescription {
            ErrorKind::KeyReused, "key-reused", "use a new Idempotency-Key for a request with another body" },
        KindDescription {
            ErrorKind::BadDocument, "bad-document", "correct the document and run `topaztack check` on it" },
        KindDescription {
            ErrorKind::BadSettings, "bad-settings", "correct the settings file; docs/SETTINGS.md lists every key" },
        KindDescription { ErrorKind::BadFrame, "bad-frame", "check that both VMs run the same version of topaztack" },
        KindDescription {
            ErrorKind::SlowCaller, "slow-caller", "send the request faster, or raise [limits] caller_idle" },
        KindDescription { ErrorKind::CallerNotIdentified, "caller-not-identified",
            "send a key of your workspace as `Authorization: Bearer KEY`" },
        KindDescription { ErrorKind::Overloaded, "overloaded", "ask again after the time in Retry-After" },
        KindDescription {
            ErrorKind::CallerLimit, "caller-limit", "send fewer requests at once, or raise [limits] caller_in_flight" },
        KindDescription { ErrorKind::DeadlineTooShort, "deadline-too-short", "ask again with a longer deadline" },
        KindDescription {
            ErrorKind::RetryBudgetSpent, "retry-budget-spent", "ask again after the time in Retry-After" },
        KindDescription { ErrorKind::QueueFull, "queue-full", "ask again after the time in Retry-After" },
        KindDescription { ErrorKind::NoBackendServer, "no-backend-server",
            "wait for a backend server of the pool to return, or add one to the document" },
        KindDescription { ErrorKind::BackendUnreachable, "backend-unreachable",
            "ask again; the request did not reach a backend server" },
        KindDescription { ErrorKind::BackendBroke, "backend-broke",
            "ask the backend server's owner what became of the request before sending another" },
        KindDescription { ErrorKind::BackendTimeout, "backend-timeout",
            "ask the backend server's owner what became of the request before sending another" },
        KindDescription { ErrorKind::BackendAnswerMalformed, "backend-answer-malformed",
            "check the backend server's version and logs" },
        KindDescription { ErrorKind::RequestHeld, "request-held",
            "don't send this request again until the backend server's owner has mended the crash" },
        KindDescription { ErrorKind::PlatformUnreachable, "platform-unreachable",
            "use a ticket (POST /v1/tickets), which needs no platform, or ask again later" },
        KindDescription { ErrorKind::PlatformAmbiguous, "platform-ambiguous",
            "ask again; the platform did not say whether the write took effect" },
        KindDescription { ErrorKind::PlatformConflict, "platform-conflict",
            "read the row again and repeat the change on its new version" },
        KindDescription {
            ErrorKind::PlatformThrottled, "platform-throttled", "ask again after the time in Retry-After" },
        KindDescription { ErrorKind::ObjectMissing, "object-missing", "check the object's key" },
        KindDescription { ErrorKind::HomeUnreachable, "home-unreachable",
            "ask again with the same key; the VM that knows the outcome can't be reached now" },
        KindDescription { ErrorKind::IncarnationGone, "incarnation-gone",
            "asking again can't settle it; ask the backend server's owner what became of the request" },
        KindDescription {
            ErrorKind::RetentionOver, "retention-over", "asking again can't settle it; the outcome is no longer kept" },
        KindDescription { ErrorKind::PeerUnreachable, "peer-unreachable",
            "check the peer VM and the network between the data centres" },
        KindDescription { ErrorKind::StillRunning, "still-running",
            "ask again with the same key; the first request with it has no answer yet" },
        KindDescription { ErrorKind::ConfigConflict, "config-conflict",
            "look at the newest document (`topaztack show`), merge your change and accept it on that version" },
        KindDescription { ErrorKind::LeaseLost, "lease-lost", "wait for the new holder of the lease" },
        KindDescription { ErrorKind::FencedOff, "fenced-off", "wait for the holder of the newer fencing number" },
        KindDescription {
            ErrorKind::NotAuthorised, "not-authorised", "send the operator token as `Authorization: Bearer TOKEN`" },
        KindDescription { ErrorKind::StaleWeights, "stale-weights", "generate the sample again with newer weights" },
        KindDescription { ErrorKind::UncertainSpan, "uncertain-span", "generate the sample again" },
        KindDescription { ErrorKind::ShuttingDown, "shutting-down", "send the request to another VM" },
        KindDescription { ErrorKind::NotReady, "not-ready",
            "ask again after the time in Retry-After; the VM has no accepted document yet" },
        KindDescription { ErrorKind::Internal, "internal", "report the message with the VM's log" },
    };

    const KindDescription& describe(ErrorKind kind)
    {
        for (const auto& description : descriptions) {
            if (description.kind == kind)
                return description;
        }
        return descriptions.back();
    }

} // namespace

std::string_view kindName(ErrorKind kind) { return describe(kind).name; }

std::string_view defaultRemedy(ErrorKind kind) { return describe(kind).remedy; }

Error makeError(ErrorKind kind, std::string message)
{
    return Error { kind, std::move(message), std::string(defaultRemedy(kind)) };
}

Error makeError(ErrorKind kind, std::string message, std::string remedy)
{
    return Error { kind, std::move(message), std::move(remedy) };
}

std::string toText(const Error& error)
{
    return std::string(kindName(error.kind)) + ": " + error.message + "; " + error.remedy;
}

} // namespace topaztack
