#include "wire/run_awaitable.hpp"

#include <topaztack/wire/peer_link.hpp>
#include <topaztack/wire/tls.hpp>

#include <CppUTest/TestHarness.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace topaztack;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace {

/// A directory with an authority of its own and a certificate that it signed, made by openssl.
struct KeyDirectory {
    KeyDirectory()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "topaztack-tls-XXXXXX").string();
        this->path = mkdtemp(pattern.data());
        this->openssl("req -x509 -newkey rsa:2048 -nodes -subj /CN=authority -days 2 -keyout ca.key -out ca.pem");
        this->renew();
    }

    ~KeyDirectory() { std::filesystem::remove_all(this->path); }

    void renew() const
    {
        this->openssl("req -newkey rsa:2048 -nodes -subj /CN=vm -keyout vm.key -out vm.csr");
        this->openssl("x509 -req -in vm.csr -CA ca.pem -CAkey ca.key -CAcreateserial -days 2 -out vm.pem");
    }

    void openssl(const std::string& arguments) const
    {
        const auto command = "cd " + this->path + " && openssl " + arguments + " >/dev/null 2>&1";
        CHECK_EQUAL(0, std::system(command.c_str()));
    }

    TlsFiles files() const { return { path + "/vm.pem", path + "/vm.key", path + "/ca.pem" }; }

    std::string path;
};

asio::awaitable<PeerAnswer> echo(PeerCall call) { co_return PartAnswer { std::get<PartCall>(call).body }; }

CallResult<PeerAnswer> callOnce(IoThreads& threads, PeerServer& server, TlsContext* tls)
{
    PeerClient client(threads.at(0), PeerKey {}, tls);
    return test::runOn(
        threads.at(0), client.call({ "127.0.0.1", server.port() }, PartCall { "any", "secret" }, Clock::now() + 5s));
}

} // namespace

TEST_GROUP(Tls) {};

TEST(Tls, VmsSpeakOnlyToThoseThatTheirAuthoritySigned)
{
    const KeyDirectory own;
    const KeyDirectory foreign;
    const auto keys = TlsContext::load(own.files());
    const auto otherKeys = TlsContext::load(foreign.files());
    CHECK_TRUE(keys.has_value() && otherKeys.has_value());
    MetricsRegistry metrics;
    IoThreads threads(1);
    PeerServer server(threads, { "127.0.0.1", 0 }, PeerKey {}, echo, metrics, keys.value().get());
    CHECK_TRUE(server.start().has_value());
    threads.start();
    CHECK_TRUE(callOnce(threads, server, keys.value().get()).has_value());
    for (auto* stranger : { otherKeys.value().get(), static_cast<TlsContext*>(nullptr) }) {
        const auto refused = callOnce(threads, server, stranger);
        CHECK_FALSE(refused.has_value());
        CHECK_TRUE(refused.error().progress == AttemptProgress::NothingWritten);
    }
}

TEST(Tls, KeysAreReadAgainWhenTheirFilesChange)
{
    const KeyDirectory directory;
    auto loaded = TlsContext::load(directory.files());
    auto& keys = *loaded.value();
    const auto before = keys.serverKeys();
    CHECK_FALSE(keys.reloadIfChanged().value());
    CHECK_TRUE(keys.serverKeys() == before);
    directory.renew();
    CHECK_TRUE(keys.reloadIfChanged().value());
    CHECK_FALSE(keys.serverKeys() == before);
    const auto renewed = keys.serverKeys();
    std::ofstream(directory.files().certificate) << "no certificate";
    CHECK_FALSE(keys.reloadIfChanged().has_value());
    CHECK_TRUE(keys.serverKeys() == renewed);
}

TEST(Tls, AKeyThatDoesNotBelongToItsCertificateIsRefused)
{
    const KeyDirectory one;
    const KeyDirectory other;
    auto files = one.files();
    files.privateKey = other.files().privateKey;
    const auto loaded = TlsContext::load(files);
    CHECK_TRUE(loaded.error().kind == ErrorKind::BadSettings);
}
