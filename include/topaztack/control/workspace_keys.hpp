#pragma once

#include <topaztack/base/ids.hpp>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// @file
/// Keys with which callers identify their workspace, and what callers without a known key may do.

namespace topaztack {

struct Route;
struct RouteTable;

/// @brief HMAC-SHA-256 of a key under a secret that each process draws at random, so that it is of no use elsewhere.
using KeyDigest = std::array<unsigned char, 32>;

KeyDigest digestKey(std::string_view key);

/// @brief Compares two digests in constant time.
bool areEqualDigests(const KeyDigest& left, const KeyDigest& right);

/// @brief A key of a workspace. The key itself is not kept.
struct WorkspaceKey {
    KeyDigest digest {};
    WorkspaceName workspace;
};

/// @brief A key that identifies no workspace although the configuration lists it.
struct UnusableKey {
    /// The workspaces that list it.
    std::vector<WorkspaceName> workspaces;
    std::string reason;
};

/// @brief The keys of all workspaces of a configuration.
struct WorkspaceKeys {
    /// An entry without a workspace is a key that several have.
    std::vector<WorkspaceKey> usable;
    /// Keys that are empty, belong to several workspaces, or to a workspace whose name can't be sent in a header.
    std::vector<UnusableKey> unusable;
};

/// @brief Adds a key of a workspace. A key of several workspaces becomes unusable for all of them.
/// @complexity linear in the number of keys.
void addKey(WorkspaceKeys& keys, const WorkspaceName& workspace, std::string_view key);

/// @brief Adds a key by its digest.
void addKey(WorkspaceKeys& keys, const WorkspaceName& workspace, const KeyDigest& digest);

/// @brief The workspace of a key; empty if the key is unknown. Compares all keys, so that the time doesn't tell which
/// one matched.
/// @complexity linear in the number of keys.
WorkspaceName findWorkspace(const WorkspaceKeys& keys, std::string_view key);

/// @brief Whether a caller's request is admitted.
enum class AccessVerdict : std::uint8_t {
    Admitted,
    KeyMissing,
    KeyUnknown,
};

struct AccessDecision {
    AccessVerdict verdict { AccessVerdict::Admitted };
    /// Empty if the configuration has no workspaces or no known key was sent.
    WorkspaceName workspace;
};

/// @brief The token of an `Authorization: Bearer TOKEN` header; empty if it has another form. The scheme's case doesn't
/// matter.
std::string_view bearerToken(std::string_view authorization);

/// @brief Decides whether a caller is admitted, and for which workspace.
/// @param isPublic whether no key is needed.
/// @param key empty if none was sent.
AccessDecision decideAccess(bool hasWorkspaces, const WorkspaceKeys& keys, bool isPublic, std::string_view key);

/// @brief Decides whether a caller of a gateway is admitted, and for which workspace.
/// @param route nullptr for calls about a job, whose route is found by its head.
/// @param key empty if none was sent.
/// @example decideAccess(table, matchRoute(table, host, path), key)
AccessDecision decideAccess(const RouteTable& table, const Route* route, std::string_view key);

/// @brief Whether some jobs can be used without a key: a route that takes jobs is public.
bool hasPublicJobs(const RouteTable& table);

/// @brief What the head of a job states about its workspace and origin.
struct JobOrigin {
    /// Empty for jobs of public routes and for those accepted without workspaces or by earlier versions.
    WorkspaceName workspace;
    /// The configuration under which it was accepted.
    ConfigVersion configuration;
    /// The present route of its host and path; nullptr if there is none.
    const Route* route { nullptr };
};

/// @brief The caller of a job, as the VM that it called identified it.
struct JobCaller {
    /// Whether that VM's configuration has workspaces.
    bool hasWorkspaces { false };
    /// Empty if no known key was sent.
    WorkspaceName workspace;
};

/// @brief Whether a caller may use a job.
enum class JobAccess : std::uint8_t {
    Admitted,
    /// The job doesn't exist for the caller's workspace.
    OtherWorkspace,
    /// A key is needed.
    NotIdentified,
    /// The job was accepted under a newer configuration than this VM's, which has no workspaces.
    ConfigurationTooOld,
};

/// @brief Decides whether a caller may read, end or submit again a job.
/// @param present version of this VM's configuration.
JobAccess decideJobAccess(const JobOrigin& job, const JobCaller& caller, ConfigVersion present);

} // namespace topaztack
