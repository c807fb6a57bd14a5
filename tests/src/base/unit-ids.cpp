#include <topaztack/base/ids.hpp>

#include <CppUTest/TestHarness.h>

using namespace topaztack;

TEST_GROUP(Ids) {};

TEST(Ids, TicketsReadBackWhatWasPrinted)
{
    const TicketId ticket { { VmName("vm-a-1"), Incarnation(0xfeedULL) }, 42 };
    CHECK_TRUE(parseTicketId(toText(ticket)) == ticket);
}

TEST(Ids, KeysThatAreNoTicketsAreTheCallersOwn)
{
    for (const auto* text : { "", "tkt-", "tkt-1", "tkt-1-2", "tkt-1-2-", "tkt-x-1-vm", "tkt-1-zz-vm", "my-key" })
        CHECK_FALSE(parseTicketId(text).has_value());
}

TEST(Ids, EndpointsNeedAnIpNumberAndAPort)
{
    CHECK_TRUE(parseEndpoint("127.0.0.1:80") == (Endpoint { "127.0.0.1", 80 }));
    CHECK_TRUE(parseEndpoint("[::1]:80") == (Endpoint { "::1", 80 }));
    for (const auto* text :
        { "", "localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:65536", "::1:80", ":80", "1.2.3.4:-1" })
        CHECK_FALSE(parseEndpoint(text).has_value());
}
