#include <topaztack/wire/tls.hpp>

#include <topaztack/base/random.hpp>

#include <boost/asio/ssl/context.hpp>

#include <fstream>
#include <sstream>

namespace topaztack {

namespace ssl = boost::asio::ssl;

namespace {

    struct PemTexts {
        std::string certificate;
        std::string privateKey;
        std::string authority;
    };

    Result<std::string> readFile(const std::string& name)
    {
        std::ifstream file(name);
        std::stringstream text;
        text << file.rdbuf();
        if (!file)
            return makeError(
                ErrorKind::BadSettings, name + " can't be read", "check the name in [tls] and the file's permissions");
        return text.str();
    }

    Result<PemTexts> readTexts(const TlsFiles& files)
    {
        PemTexts texts;
        BOOST_OUTCOME_TRY(texts.certificate, readFile(files.certificate));
        BOOST_OUTCOME_TRY(texts.privateKey, readFile(files.privateKey));
        if (!files.authority.empty()) {
            BOOST_OUTCOME_TRY(texts.authority, readFile(files.authority));
        }
        return texts;
    }

    std::shared_ptr<ssl::context> makeContext(
        const PemTexts& texts, ssl::context::method method, boost::system::error_code& problem)
    {
        auto context = std::make_shared<ssl::context>(method);
        context->set_options(ssl::context::default_workarounds | ssl::context::no_tlsv1 | ssl::context::no_tlsv1_1);
        context->use_certificate_chain(boost::asio::buffer(texts.certificate), problem);
        if (!problem)
            context->use_private_key(boost::asio::buffer(texts.privateKey), ssl::context::pem, problem);
        if (problem || texts.authority.empty())
            return context;
        context->add_certificate_authority(boost::asio::buffer(texts.authority), problem);
        context->set_verify_mode(ssl::verify_peer | ssl::verify_fail_if_no_peer_cert);
        return context;
    }

} // namespace

TlsContext::TlsContext(TlsFiles files, Keys keys)
    : files(std::move(files))
    , keys(std::move(keys))
{
}

Result<TlsContext::Keys> TlsContext::read(const TlsFiles& files)
{
    BOOST_OUTCOME_TRY(const auto texts, readTexts(files));
    boost::system::error_code problem;
    Keys keys;
    keys.digest = toHex(stableHash(texts.certificate)) + toHex(stableHash(texts.privateKey))
        + toHex(stableHash(texts.authority));
    keys.server = makeContext(texts, ssl::context::tls_server, problem);
    if (!problem)
        keys.client = makeContext(texts, ssl::context::tls_client, problem);
    if (problem)
        return makeError(ErrorKind::BadSettings, "keys for TLS not taken: " + problem.message(),
            "give a PEM certificate and the private key that belongs to it in [tls]");
    return keys;
}

Result<std::unique_ptr<TlsContext>> TlsContext::load(TlsFiles files)
{
    BOOST_OUTCOME_TRY(auto keys, read(files));
    return std::unique_ptr<TlsContext>(new TlsContext(std::move(files), std::move(keys)));
}

TlsContext::KeysPtr TlsContext::serverKeys() const
{
    const std::lock_guard guard(this->lock);
    return this->keys.server;
}

TlsContext::KeysPtr TlsContext::clientKeys() const
{
    const std::lock_guard guard(this->lock);
    return this->keys.client;
}

Result<bool> TlsContext::reloadIfChanged()
{
    BOOST_OUTCOME_TRY(auto fresh, read(this->files));
    const std::lock_guard guard(this->lock);
    if (fresh.digest == this->keys.digest)
        return false;
    this->keys = std::move(fresh);
    return true;
}

TlsContext::KeysPtr serverKeysOf(const TlsContext* tls) { return tls ? tls->serverKeys() : nullptr; }

TlsContext::KeysPtr clientKeysOf(const TlsContext* tls) { return tls ? tls->clientKeys() : nullptr; }

} // namespace topaztack
