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
/// One contender for one lease, as a state machine without I/O: it is given the results of reads and commits, and
/// returns the next step to take.
///
/// A lease is a row of the table service. Mutual exclusion relies on conditional writes of the row and on three rules:
/// a holder measures the lease from before it sent the request and stops using it a margin before the end; a rival
/// waits for a full duration and a margin after the last change of the row that it observed itself; an ambiguous write
/// is relied on only after it was read back.

namespace topaztack {

/// @brief Intervals of a lease. The lease of a dead holder is taken over after at most takeoverTime().
struct LeaseTiming {
    std::chrono::milliseconds duration { 6000 };
    std::chrono::milliseconds renewInterval { 2000 };
    std::chrono::milliseconds watchInterval { 2000 };
    /// Covers the difference in clock rate between two VMs over one duration (8 %).
    std::chrono::milliseconds driftMargin { 500 };
    /// Minimum delay before a refused or failed call is repeated.
    std::chrono::milliseconds retryAfter { 500 };
};

/// @brief The longest time from the death of a holder until a rival tries to acquire the lease: the rival may observe
/// the last change one watch interval late, and then waits for the duration and the margin.
constexpr std::chrono::milliseconds takeoverTime(const LeaseTiming& timing)
{
    return timing.watchInterval + timing.duration + timing.driftMargin;
}

/// @brief Contents of the row `lease/<name>`. The row is never deleted, so that the fencing number never decreases.
struct LeaseRow {
    VmIdentity holder;
    FencingNumber number;
    std::chrono::milliseconds duration { 0 };
    /// The commit that wrote the row.
    OperationId operation;
    bool isReleased { false };

    bool operator==(const LeaseRow&) const = default;
};

/// @brief Serialises a row as JSON.
std::string toText(const LeaseRow& row);

/// @return empty if the text is not a valid lease row.
std::optional<LeaseRow> parseLeaseRow(std::string_view text);

/// @brief The next call that a contender has to make.
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
    /// It may have taken effect or may still do so.
    Ambiguous,
    /// It did not take effect.
    Refused,
};

/// @brief A conditional write of the row.
struct LeaseWrite {
    RowVersion condition;
    LeaseRow row;
};

/// @brief States of a contender.
enum class LeasePhase : std::uint8_t {
    /// Not wanted, not held.
    Idle,
    /// Wanted; the row has not been read yet.
    Unread,
    /// Another contender holds the lease, or it is free and about to be acquired.
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

/// @brief Returns the name of a phase in lower case, such as `renewal-unknown`.
std::string_view phaseName(LeasePhase phase);

/// @brief The state machine of one contender. At most one call is outstanding: the result of a step must be reported
/// before the next step is begun.
class LeaseContender {
public:
    LeaseContender(VmIdentity self, LeaseTiming timing);
    ~LeaseContender();
    LeaseContender(LeaseContender&&) noexcept;
    LeaseContender& operator=(LeaseContender&&) noexcept;

    /// @brief Starts competing for the lease.
    void want();

    /// @brief Stops competing. A held lease is released by the next steps, and held() is empty from now on.
    void unwant();

    /// @brief The step to take now.
    LeaseStep due(TimePoint now) const;

    /// @brief Marks the read as sent.
    void beginRead();

    /// @brief Marks an acquisition, renewal or release as sent.
    /// @param sentAt time taken before the request is written.
    /// @return the write to commit.
    LeaseWrite beginCommit(LeaseStep step, const OperationId& operation, TimePoint sentAt);

    /// @brief Reports the row as read.
    /// @param version 0 if the row is absent.
    /// @param row empty if absent or not parsable; a lease whose row is not parsable is never acquired.
    /// @param now when the answer arrived.
    void onRow(RowVersion version, const std::optional<LeaseRow>& row, TimePoint now, Random& random);

    /// @brief Reports that a read failed; it is repeated after a delay.
    void onReadFailed(TimePoint now, Random& random);

    /// @brief Reports the outcome of an acquisition, renewal or release.
    /// @param written the row's version after Committed. Without it, the version is assumed to increase by one with
    /// each write.
    void onCommit(
        CommitOutcome outcome, TimePoint now, Random& random, std::optional<RowVersion> written = std::nullopt);

    /// @brief The fencing number if the lease is held at `now`, else empty.
    std::optional<FencingNumber> held(TimePoint now) const;

    /// @brief The time until which the lease is certainly held; a time long past if it is not held.
    TimePoint heldUntil() const;

    /// @brief The fencing number under which the lease is or was last held.
    FencingNumber number() const;
    LeasePhase phase() const;

private:
    struct Machine;
    std::unique_ptr<Machine> machine;
};

} // namespace topaztack
