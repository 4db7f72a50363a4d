#include "fescuedeck/net/response_check.h"

#include <random>

#include <boost/asio/read_until.hpp>
#include <boost/beast/http.hpp>
#include <catch2/catch.hpp>

#include "fescuedeck/net/http_client.h"
#include "fescuedeck/net/test_io.h"

namespace fescuedeck {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;
using namespace std::string_literals;

constexpr std::uint32_t seed = 20261206;

// Answers each connection's only request with the bytes that are set, and closes the connection.
class one_shot_server
{
public:
    explicit one_shot_server(test_io &io)
        : m_acceptor(io.context(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        asio::spawn(io.context(), [this](const asio::yield_context &yield) { run(yield); });
    }
    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    std::string answer;
    int requests = 0;

private:
    void run(const asio::yield_context &yield)
    {
        for (;;) {
            tcp::socket socket(m_acceptor.get_executor());
            m_acceptor.async_accept(socket, yield);
            std::string text;
            boost::system::error_code error;
            asio::async_read_until(socket, asio::dynamic_buffer(text), "\r\n\r\n", yield[error]);
            ++requests;
            asio::async_write(socket, asio::buffer(answer), yield[error]);
            // Without this, bytes that the client has not read yet could be lost.
            socket.shutdown(tcp::socket::shutdown_send, error);
            asio::async_read(socket, asio::dynamic_buffer(text), yield[error]);
        }
    }

    tcp::acceptor m_acceptor;
};

struct client_fixture
{
    ~client_fixture() { io.stop(); }

    call_result get(const std::string &answer)
    {
        client.dropIdle(loopback(server.port())); // the server waits for the end of each connection
        server.answer = answer;
        return io.run([&](asio::yield_context yield) {
            call_options options;
            options.timeout = testWaitLimit;
            options.freshConnection = true;
            return client.send(loopback(server.port()), { "GET", "/", {}, "" }, options, yield);
        });
    }

    test_io io{ 1 };
    one_shot_server server{ io };
    http_client client{ io.context() };
};

// Parses like the client, without a connection.
std::optional<response_fault> decode(const std::string &bytes, http_response &head, bool &isWhole)
{
    http::response_parser<http::string_body> parser;
    parser.header_limit(16 * 1024);
    parser.body_limit(64 * 1024);
    parser.eager(true);
    boost::system::error_code error;
    std::size_t used = 0;
    bool isChecked = false;
    while (!parser.is_done() && used < bytes.size()) {
        parser.eager(isChecked);
        const std::size_t count
                = parser.put(asio::buffer(bytes.data() + used, bytes.size() - used), error);
        used += count;
        if (error == http::error::need_more)
            error = {};
        if (error)
            return faultOfParseError(error);
        if (!isChecked && parser.is_header_done()) {
            isChecked = true;
            head.status = static_cast<int>(parser.get().result_int());
            for (const auto &field : parser.get())
                head.headers.push_back(
                        { std::string(field.name_string()), std::string(field.value()) });
            if (const auto fault = findFault(static_cast<int>(parser.get().version()), head))
                return fault;
        }
        if (count == 0)
            break;
    }
    if (parser.got_some())
        parser.put_eof(error);
    isWhole = isChecked && !error && parser.is_done();
    return std::nullopt;
}

// One or more random changes of single bytes or parts of a response.
std::string damaged(std::string text, std::mt19937 &random)
{
    static const std::vector<std::string> parts = { "\r\n",
                                                    "\r",
                                                    "\n",
                                                    "\0"s,
                                                    ":",
                                                    " ",
                                                    "\t",
                                                    "000",
                                                    "999",
                                                    "HTTP/1.1",
                                                    "\r\n\r\n",
                                                    "chunked",
                                                    "Content-Length: 3\r\n",
                                                    "Transfer-Encoding: chunked\r\n",
                                                    "\x7f",
                                                    "\xff",
                                                    "99999999999999999999",
                                                    "-1",
                                                    "1;x=\"",
                                                    "HTTP/1.1 100 C\r\n\r\n" };
    const auto below
            = [&random](std::size_t limit) { return random() % std::max<std::size_t>(limit, 1); };
    for (std::size_t changes = 1 + below(4); changes > 0; --changes) {
        const std::size_t at = below(text.size() + 1);
        switch (below(4)) {
        case 0:
            text.insert(at, parts[below(parts.size())]);
            break;
        case 1:
            text.erase(at, 1 + below(8));
            break;
        case 2:
            if (at < text.size())
                text[at] = static_cast<char>(random());
            break;
        default:
            text.resize(at);
        }
    }
    return text;
}

const std::vector<std::string> samples = {
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "HTTP/1.0 404 None\r\nContent-Type: a/b\r\n\r\nuntil the end",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 Empty\r\nX: y\r\n\r\n",
    "HTTP/1.1 503 Busy\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n",
};

} // namespace

TEST_CASE("only final statuses from 200 to 599 and interim ones are accepted", "[net][malformed]")
{
    for (int status = 0; status <= 999; ++status) {
        const auto fault = findFault(11, { status, {}, "" });
        CHECK(fault.has_value() == (status < 100 || status == 101 || status > 599));
        CHECK(isFinalStatus(status) == (status >= 200 && status <= 599));
    }
}

// Guards against responses that a caller could take for another one than the endpoint has sent.
TEST_CASE("each kind of odd response passes, is corrected or is rejected", "[net][malformed]")
{
    enum class verdict { Passes, Corrected, Rejected };
    using fault = response_fault;
    struct row
    {
        std::string name, answer;
        verdict expected;
        std::optional<fault> reason;
        std::string body;
    };
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string two = "Content-Length: 2\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::string chunks = "\r\n2\r\nok\r\n0\r\n\r\n";
    const auto rejected = [](const std::string &name, const std::string &answer, fault reason) {
        return row{ name, answer, verdict::Rejected, reason, "" };
    };
    const auto passes = [](const std::string &name, const std::string &answer) {
        return row{ name, answer, verdict::Passes, std::nullopt, "ok" };
    };
    const auto corrected
            = [](const std::string &name, const std::string &answer, const std::string &body) {
                  return row{ name, answer, verdict::Corrected, std::nullopt, body };
              };
    const std::vector<row> rows = {
        passes("plain", ok + two + "\r\nok"),
        passes("unknown status in range", "HTTP/1.1 299 Odd\r\n" + two + "\r\nok"),
        passes("version 1.0", "HTTP/1.0 200 OK\r\n" + two + "\r\nok"),
        passes("chunks", ok + chunked + chunks),
        passes("no reason", "HTTP/1.1 200 \r\n" + two + "\r\nok"),
        passes("interim before", "HTTP/1.1 103 Early\r\n\r\n" + ok + two + "\r\nok"),
        passes("equal lengths", ok + two + two + "\r\nok"),
        passes("no length, ends with the connection", ok + "\r\nok"),
        corrected("body on 204", "HTTP/1.1 204 None\r\n" + two + "\r\nok", ""),
        corrected("chunks on 204", "HTTP/1.1 204 None\r\n" + chunked + chunks, ""),
        corrected("body on 304", "HTTP/1.1 304 Same\r\n" + two + "\r\nok", ""),
        corrected("folded header", ok + "X: a\r\n b\r\n" + two + "\r\nok", "ok"),
        rejected("status 000", "HTTP/1.1 000 X\r\n" + two + "\r\nok", fault::InvalidStatus),
        rejected("status 600", "HTTP/1.1 600 X\r\n" + two + "\r\nok", fault::InvalidStatus),
        rejected("two digits", "HTTP/1.1 20 X\r\n" + two + "\r\nok", fault::InvalidStatus),
        rejected("four digits", "HTTP/1.1 2000 X\r\n" + two + "\r\nok", fault::InvalidStatus),
        rejected("status 101", "HTTP/1.1 101 X\r\nUpgrade: x\r\n\r\n", fault::UnaskedUpgrade),
        rejected("body on interim", "HTTP/1.1 100 C\r\n" + two + "\r\nok" + ok + two + "\r\nok",
                 fault::AmbiguousLength),
        rejected("control character in the reason", "HTTP/1.1 200 O\x01K\r\n" + two + "\r\nok",
                 fault::InvalidSyntax),
        rejected("zero in the reason", "HTTP/1.1 200 O\0K\r\n"s + two + "\r\nok",
                 fault::InvalidSyntax),
        rejected("control character in a header", ok + "X: a\x01\r\n" + two + "\r\nok",
                 fault::InvalidSyntax),
        rejected("version 2.0", "HTTP/2.0 200 OK\r\n" + two + "\r\nok", fault::UnsupportedVersion),
        rejected("version 1.2", "HTTP/1.2 200 OK\r\n" + two + "\r\nok", fault::UnsupportedVersion),
        rejected("version 0.9", "HTTP/0.9 200 OK\r\n" + two + "\r\nok", fault::UnsupportedVersion),
        rejected("two lengths", ok + two + "Content-Length: 1\r\n\r\nok", fault::AmbiguousLength),
        rejected("two lengths in one", ok + "Content-Length: 2, 1\r\n\r\nok",
                 fault::AmbiguousLength),
        rejected("negative length", ok + "Content-Length: -2\r\n\r\nok", fault::AmbiguousLength),
        rejected("length and chunks", ok + two + chunked + chunks, fault::AmbiguousLength),
        rejected("chunks and length", ok + chunked + two + chunks, fault::AmbiguousLength),
        rejected("unknown encoding", ok + "Transfer-Encoding: gzip\r\n\r\nok",
                 fault::AmbiguousLength),
        rejected("encoded chunks", ok + "Transfer-Encoding: gzip, chunked\r\n" + chunks,
                 fault::AmbiguousLength),
        rejected("unknown encoding and length", ok + "Transfer-Encoding: gzip\r\n" + two + "\r\nok",
                 fault::AmbiguousLength),
        rejected("chunks in version 1.0", "HTTP/1.0 200 OK\r\n" + chunked + chunks,
                 fault::AmbiguousLength),
        rejected("size of a chunk", ok + chunked + "\r\nz\r\nok\r\n0\r\n\r\n",
                 fault::AmbiguousLength),
        rejected("space before the colon", ok + "X : a\r\n" + two + "\r\nok", fault::InvalidSyntax),
        rejected("no colon", ok + "X\r\n" + two + "\r\nok", fault::InvalidSyntax),
    };
    client_fixture fixture;
    for (const row &each : rows) {
        CAPTURE(each.name);
        const call_result result = fixture.get(each.answer);
        const bool isRejected = each.expected == verdict::Rejected;
        CHECK(result.response.has_value() != isRejected);
        CHECK(result.fault == each.reason);
        CHECK(result.mayHaveBeenSent);
        if (result.response)
            CHECK(result.response.value().body == each.body);
        else
            CHECK(result.response.error().code == errc::InvalidMessage);
        if (each.expected != verdict::Passes && each.name != "folded header")
            CHECK(fixture.client.idleConnections() == 0);
    }
}

// Guards against a byte sequence that ends the process or passes the check with an unusable head.
TEST_CASE("damaged responses are rejected or usable", "[net][malformed]")
{
    std::mt19937 random(seed);
    int accepted = 0;
    constexpr int responses = 100'000;
    for (int i = 0; i < responses; ++i) {
        const std::string bytes = damaged(samples[random() % samples.size()], random);
        http_response head;
        bool isWhole = false;
        if (decode(bytes, head, isWhole) || !isWhole)
            continue;
        ++accepted;
        bool isUsable = isFinalStatus(head.status) || isInterimStatus(head.status);
        for (const http_header &header : head.headers)
            isUsable = isUsable && isValidHeader(header);
        isUsable = isUsable
                   && (findHeader(head.headers, "Content-Length") == nullptr
                       || findHeader(head.headers, "Transfer-Encoding") == nullptr
                       || announcesForbiddenBody(head));
        if (!isUsable)
            FAIL("response " << i << " of seed " << seed << ": " << bytes);
    }
    INFO(accepted << " accepted");
    CHECK(accepted > responses / 100);
    CHECK(accepted < responses);
}

// The same through the client, so that its loop over interim responses and bodies is covered.
TEST_CASE("the client ends every call that gets a damaged response", "[net][malformed]")
{
    std::mt19937 random(seed);
    client_fixture fixture;
    for (int i = 0; i < 2000; ++i) {
        const std::string bytes = damaged(samples[random() % samples.size()], random);
        const call_result result = fixture.get(bytes);
        CAPTURE(i, bytes);
        REQUIRE(result.mayHaveBeenSent);
        if (result.response)
            REQUIRE(isFinalStatus(result.response.value().status));
        else
            REQUIRE(result.response.error().code != errc::Timeout);
        REQUIRE(fixture.server.requests == i + 1);
    }
}

} // namespace fescuedeck
