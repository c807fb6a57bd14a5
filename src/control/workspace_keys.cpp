#include <topaztack/control/workspace_keys.hpp>

#include <topaztack/control/route_table.hpp>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace topaztack {

namespace {

    /// In lower case.
    constexpr std::string_view keyScheme = "bearer";
    constexpr std::size_t secretBytes = 32;
    using Secret = std::array<unsigned char, secretBytes>;

    Secret randomSecret()
    {
        Secret secret {};
        if (RAND_bytes(secret.data(), static_cast<int>(secret.size())) != 1)
            std::abort();
        return secret;
    }

    const Secret& processSecret()
    {
        static const Secret secret = randomSecret();
        return secret;
    }

    std::string_view trim(std::string_view text)
    {
        const auto begin = std::min(text.find_first_not_of(" \t"), text.size());
        return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
    }

    /// Whether a header can carry the name unchanged.
    bool isHeaderValue(std::string_view name)
    {
        const bool hasControl = std::any_of(name.begin(), name.end(), [](char letter) {
            const auto code = static_cast<unsigned char>(letter);
            return code < 0x20U || code == 0x7fU;
        });
        return !name.empty() && !hasControl && name.front() != ' ' && name.back() != ' ';
    }

} // namespace

KeyDigest digestKey(std::string_view key)
{
    const auto& secret = processSecret();
    KeyDigest digest {};
    unsigned size = 0;
    const auto* bytes = reinterpret_cast<const unsigned char*>(key.data());
    const auto* made
        = HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()), bytes, key.size(), digest.data(), &size);
    if (!made || size != digest.size())
        std::abort();
    return digest;
}

bool areEqualDigests(const KeyDigest& left, const KeyDigest& right)
{
    return CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

void addKey(WorkspaceKeys& keys, const WorkspaceName& workspace, std::string_view key)
{
    if (!isHeaderValue(workspace.value())) {
        keys.unusable.push_back({ { workspace }, "the workspace's name is empty or no header value" });
        return;
    }
    if (key.empty()) {
        keys.unusable.push_back({ { workspace }, "the key is empty" });
        return;
    }
    addKey(keys, workspace, digestKey(key));
}

void addKey(WorkspaceKeys& keys, const WorkspaceName& workspace, const KeyDigest& digest)
{
    const auto isSame = [&digest](const WorkspaceKey& each) { return areEqualDigests(each.digest, digest); };
    const auto known = std::find_if(keys.usable.begin(), keys.usable.end(), isSame);
    if (known == keys.usable.end()) {
        keys.usable.push_back({ digest, workspace });
        return;
    }
    if (known->workspace == workspace)
        return;
    // The digest stays, with no workspace, so that a third workspace doesn't get the key.
    if (!known->workspace.value().empty())
        keys.unusable.push_back({ { known->workspace, workspace }, "several workspaces have the key" });
    else
        keys.unusable.push_back({ { workspace }, "several workspaces have the key" });
    known->workspace = {};
}

WorkspaceName findWorkspace(const WorkspaceKeys& keys, std::string_view key)
{
    const auto digest = digestKey(key);
    WorkspaceName found;
    for (const auto& each : keys.usable) {
        if (areEqualDigests(each.digest, digest))
            found = each.workspace;
    }
    return found;
}

std::string_view bearerToken(std::string_view authorization)
{
    const auto text = trim(authorization);
    const auto space = std::min(text.find_first_of(" \t"), text.size());
    const auto isSame = [](char one, char other) { return std::tolower(static_cast<unsigned char>(one)) == other; };
    const auto scheme = text.substr(0, space);
    if (!std::equal(scheme.begin(), scheme.end(), keyScheme.begin(), keyScheme.end(), isSame))
        return {};
    return trim(text.substr(space));
}

AccessDecision decideAccess(bool hasWorkspaces, const WorkspaceKeys& keys, bool isPublic, std::string_view key)
{
    AccessDecision access;
    if (!hasWorkspaces)
        return access;
    if (!key.empty())
        access.workspace = findWorkspace(keys, key);
    if (!isPublic && access.workspace.value().empty())
        access.verdict = key.empty() ? AccessVerdict::KeyMissing : AccessVerdict::KeyUnknown;
    return access;
}

AccessDecision decideAccess(const RouteTable& table, const Route* route, std::string_view key)
{
    return decideAccess(table.hasWorkspaces, table.keys, route && route->isPublic, key);
}

bool hasPublicJobs(const RouteTable& table)
{
    return std::any_of(table.routes.begin(), table.routes.end(),
        [](const Route& route) { return route.isPublic && route.kind == RouteKind::Batch; });
}

JobAccess decideJobAccess(const JobOrigin& job, const JobCaller& caller, ConfigVersion present)
{
    const bool hasOwner = !job.workspace.value().empty();
    if (!caller.hasWorkspaces)
        return hasOwner && job.configuration > present ? JobAccess::ConfigurationTooOld : JobAccess::Admitted;
    if (caller.workspace.value().empty()) {
        const bool isPublic = !hasOwner && job.route && job.route->isPublic;
        return isPublic ? JobAccess::Admitted : JobAccess::NotIdentified;
    }
    return hasOwner && job.workspace != caller.workspace ? JobAccess::OtherWorkspace : JobAccess::Admitted;
}

} // namespace topaztack
