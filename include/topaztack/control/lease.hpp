#pragma once

#include <topaztack/base/ids.hpp>
#include <topaztack/base/random.hpp>
#include <topaztack/base/time.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

/// @file
/// One contender for one lease, as a pure automaton: it is told what was read and how commits ended, and says what to
/// do next.
///
/// A lease is a row of the table service. Safety rests on the row's condition and on three rules of time: a holder
/// counts from before its request was sent and stops a margin early; a rival waits a full duration and a margin after
/// the last change that it saw itself; an ambiguous write counts only once it was read back.

namespace topaztack {

/// @brief Times of a lease. A dead holder's lease is taken over after at most takeoverTime().
struct LeaseTiming {
    std::chrono::milliseconds duration { 6000 };
    std::chrono::milliseconds renewInterval { 2000 };
    std::chrono::milliseconds watchInterval { 2000 };
    /// Covers the difference in rate of two VMs' clocks over one duration (8 %).
    std::chrono::milliseconds driftMargin { 500 };
    /// Before a refused or failed call is repeated.
    std::chrono::milliseconds retryAfter { 500 };
};

/// @brief The longest time from a holder's death until a rival asks for the lease: the rival sees the last change one
/// watch interval late, then waits.
constexpr std::chrono::milliseconds takeoverTime(const LeaseTiming& timing)
{
    return timing.watchInterval + timing.duration + timing.driftMargin;
}

/// @brief What stands in the row `lease/<name>`. The row is never removed, so that the number never falls.
struct LeaseRow {
    VmIdentity holder;
    FencingNumber number;
    std::chrono::milliseconds duration { 0 };
    /// The commit that wrote the row.
    OperationId operation;
    bool isReleased { false };

    bool operator==(const LeaseRow&) const = default;
};

std::string toText(const LeaseRow& row);

/// @return nothing if the text is no lease row.
std::optional<LeaseRow> parseLeaseRow(std::string_view text);

/// @brief What a contender wants done now.
enum class LeaseStep : std::uint8_t {
    None,
    Read,
    Acquire,
    Renew,
    Release,
};

/// @brief How a commit ended.
enum class CommitOutcome : std::uint8_t {
    Committed,
    /// The row had changed.
    Conflict,
    /// It may have taken effect, or may yet.
    Ambiguous,
    /// It did not take effect.
    Refused,
};

/// @brief A conditional write of the row.
struct LeaseWrite {
    RowVersion condition;
    LeaseRow row;
};

enum class LeasePhase : std::uint8_t {
    /// Not wanted, not held.
    Idle,
    /// Wanted; the row was not read yet.
    Unread,
    /// Another has it, or it is free and about to be asked for.
    Watching,
    Acquiring,
    /// The answer to the acquisition was lost.
    AcquisitionUnknown,
    Held,
    Renewing,
    /// The answer to the renewal was lost, or the row changed.
    RenewalUnknown,
    Releasing,
};

std::string_view phaseName(LeasePhase phase);

/// @brief The automaton. One call is outstanding at a time: after a step other than None was begun, its result is
/// reported before another is due.
class LeaseContender {
public:
    LeaseContender(VmIdentity self, LeaseTiming timing);
    ~LeaseContender();
    LeaseContender(LeaseContender&&) noexcept;
    LeaseContender& operator=(LeaseContender&&) noexcept;

    void want();

    /// @brief Stops competing; a held lease is released by the next steps, and held() is empty from now on.
    void unwant();

    /// @brief What to do now.
    LeaseStep due(TimePoint now) const;

    /// @brief Marks the read as sent.
    void beginRead();

    /// @brief Marks an acquisition, renewal or release as sent.
    /// @param sentAt taken before the request is written.
    /// @return what to commit.
    LeaseWrite beginCommit(LeaseStep step, const OperationId& operation, TimePoint sentAt);

    /// @brief Reports the row as read.
    /// @param version 0 if the row is absent.
    /// @param row empty if absent or not understood; a row that is not understood is never taken.
    /// @param now when the answer was there.
    void onRow(RowVersion version, const std::optional<LeaseRow>& row, TimePoint now, Random& random);

    void onReadFailed(TimePoint now, Random& random);

    /// @param written the row's version after Committed; a table that doesn't say adds one with each write.
    void onCommit(
        CommitOutcome outcome, TimePoint now, Random& random, std::optional<RowVersion> written = std::nullopt);

    /// @brief The fencing number if the lease is held at `now`.
    std::optional<FencingNumber> held(TimePoint now) const;

    /// @brief The end of the time for which the lease is surely held; long past if it isn't.
    TimePoint heldUntil() const;

    FencingNumber number() const;
    LeasePhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace topaztack
