#include <platform/store.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;
using namespace topaztack::platform;

namespace {

HttpResponse answerWith(unsigned status, std::string body = {})
{
    HttpResponse response;
    response.status = status;
    response.body = std::move(body);
    return response;
}

const StoreRowKey owner { "my", "p7", "owner" };

} // namespace

TEST_GROUP(Store) { const StoreProtocol& protocol = storeProtocol(); };

TEST(Store, ATransactionNamesItsConditionsWritesAndRemovals)
{
    StoreTransaction transaction;
    transaction.conditions.push_back({ owner, RowVersion(0) });
    transaction.writes.push_back({ owner, "node-1" });
    transaction.writes.push_back({ { "my", "p7", "old" }, std::nullopt });
    const auto request = this->protocol.encodeTransaction(transaction);
    STRCMP_EQUAL("POST", request.method.c_str());
    STRCMP_EQUAL("/-/rows-tx", request.target.c_str());
    STRCMP_EQUAL(R"({"expected":[{"table":"my","part":"p7","key":"owner","ver":0}],)"
                 R"("puts":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x"}],)"
                 R"("remove":[{"table":"my","part":"p7","key":"old"}]})",
        request.body.c_str());
}

TEST(Store, ACommitSaysItsVersionAndAFailedOneTheRowsAsTheyAre)
{
    const auto done = this->protocol.decodeCommit(answerWith(200, R"({"ver":412,"nowMs":51230})"));
    CHECK_TRUE(done.value().isCommitted);
    LONGS_EQUAL(412, done.value().version.value());
    const auto failed = this->protocol.decodeCommit(answerWith(
        412, R"({"rows":[{"table":"my","part":"p7","key":"owner","value":"bm9kZS0x","ver":9}],"ver":412,"nowMs":1})"));
    CHECK_FALSE(failed.value().isCommitted);
    STRCMP_EQUAL("node-1", failed.value().conflicts.at(0).value.c_str());
    LONGS_EQUAL(9, failed.value().conflicts.at(0).version.value());
}

TEST(Store, WhatIsNotUnderstoodMayHaveTakenEffect)
{
    for (const auto& answer : { answerWith(500), answerWith(200, "{"), answerWith(200, "[]"),
             answerWith(200, R"({"ver":"x"})"), answerWith(412, R"({"rows":[{"key":1}]})") })
        CHECK_TRUE(this->protocol.decodeCommit(answer).error().kind == ErrorKind::PlatformAmbiguous);
}

TEST(Store, ARangeAndAFeedAreAskedForWithTheirBounds)
{
    STRCMP_EQUAL("/-/rows-get?table=my&part=p%2F7&from=o&to=p%20q",
        this->protocol.encodeRange({ "my", "p/7", "o", "p q" }).target.c_str());
    StoreFeedQuery query;
    query.table = "op";
    query.after = RowVersion(530);
    query.wait = std::chrono::milliseconds(500);
    STRCMP_EQUAL("/-/rows-feed?table=op&after=530&waitMs=500", this->protocol.encodeFeed(query).target.c_str());
}

TEST(Store, ChangesMarkRemovedRowsAndALostHistoryIsNoError)
{
    const auto changes = this->protocol.decodeRows(answerWith(
        200, R"({"rows":[{"table":"servers","part":"","key":"i-1","ver":7,"removed":true}],"ver":533,"nowMs":1})"));
    CHECK_TRUE(changes.value().rows.at(0).isRemoved);
    LONGS_EQUAL(533, changes.value().version.value());
    CHECK_TRUE(this->protocol.decodeRows(answerWith(410)).value().isHistoryLost);
    CHECK_FALSE(this->protocol.decodeRows(answerWith(200, R"({"rows":[]})")).has_value());
}

// The whole answer was refused for one row, and the table was not followed any more.
TEST(Store, ARowThatCannotBeReadHidesNoOther)
{
    const auto rows = this->protocol.decodeRows(answerWith(200,
        R"({"rows":[{"table":"t","part":"","key":"odd","ver":4,"value":"*"},{"table":"t","part":"","key":"bare","ver":5,)"
        R"("value":7},{"table":"t","part":"","key":"k","ver":6,"value":"Ym9keQ=="}],"ver":6,"nowMs":1})"));
    LONGS_EQUAL(3, rows.value().rows.size());
    STRCMP_EQUAL("", rows.value().rows.at(0).value.c_str());
    STRCMP_EQUAL("", rows.value().rows.at(1).value.c_str());
    STRCMP_EQUAL("body", rows.value().rows.at(2).value.c_str());
}

TEST(Store, AnObjectIsStoredOnce)
{
    const auto request = this->protocol.encodeObjectPut(ObjectKey("job-1"), "bytes");
    STRCMP_EQUAL("PUT", request.method.c_str());
    STRCMP_EQUAL("/-/blob-put/job-1", request.target.c_str());
    STRCMP_EQUAL("*", std::string(findHeader(request.headers, "If-None-Match")).c_str());
    CHECK_TRUE(this->protocol.decodeObjectPut(answerWith(200)).value());
    CHECK_FALSE(this->protocol.decodeObjectPut(answerWith(412)).value());
    CHECK_TRUE(this->protocol.decodeObjectPut(answerWith(507)).error().kind == ErrorKind::PlatformThrottled);
    CHECK_TRUE(this->protocol.decodeObject(answerWith(404)).error().kind == ErrorKind::ObjectMissing);
    STRCMP_EQUAL("b", this->protocol.decodeObject(answerWith(200, "b")).value().c_str());
}
