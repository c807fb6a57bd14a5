#pragma once

#include <topaztack/base/error.hpp>

#include <memory>
#include <mutex>
#include <string>

/// @file
/// Keys for TLS on the operators' port and between VMs, read again when their files change.

namespace boost::asio::ssl {
class context;
}

namespace topaztack {

/// @brief PEM files of one VM.
struct TlsFiles {
    std::string certificate;
    std::string privateKey;
    /// Authority that the other side's certificate must be signed by; empty if it needs none.
    std::string authority;

    bool operator==(const TlsFiles&) const = default;
};

/// @brief The keys in use. New connections take the newest; open ones keep theirs. Safe on any thread.
class TlsContext {
public:
    using KeysPtr = std::shared_ptr<boost::asio::ssl::context>;

    /// @brief Reads the files.
    /// @return BadSettings if a file can't be read or the key doesn't belong to the certificate.
    static Result<std::unique_ptr<TlsContext>> load(TlsFiles files);

    /// @brief Keys for a new connection that is accepted; the other side is verified if there is an authority.
    KeysPtr serverKeys() const;

    /// @brief Keys for a new connection that is opened; the other side is verified if there is an authority.
    KeysPtr clientKeys() const;

    /// @brief Reads the files again if one of them changed since. On an error the old keys stay in use.
    /// @return whether new keys are in use; BadSettings as load().
    Result<bool> reloadIfChanged();

private:
    struct Keys {
        KeysPtr server;
        KeysPtr client;
        /// Digest of the files' contents.
        std::string digest;
    };

    TlsContext(TlsFiles files, Keys keys);
    static Result<Keys> read(const TlsFiles& files);

    const TlsFiles files;
    mutable std::mutex lock;
    Keys keys;
};

/// @name Keys of a context that may be absent: none for plain TCP.
/// @{
TlsContext::KeysPtr serverKeysOf(const TlsContext* tls);
TlsContext::KeysPtr clientKeysOf(const TlsContext* tls);
/// @}

} // namespace topaztack
