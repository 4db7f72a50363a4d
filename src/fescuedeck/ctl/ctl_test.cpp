#include <algorithm>
#include <cstdio>
#include <map>

#include <catch2/catch.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include "fescuedeck/bundle/canonical_bundle.h"
#include "fescuedeck/ctl/bundle_commands.h"
#include "fescuedeck/ctl/command_line.h"
#include "fescuedeck/ctl/control_reader.h"
#include "fescuedeck/ctl/host_commands.h"
#include "fescuedeck/ctl/trace_command.h"

namespace fescuedeck {
namespace {

const operator_key &testKey()
{
    static const operator_key key{ "amina", generateKeyPair().value() };
    return key;
}

bundle_file makeFile(std::int64_t version, std::int64_t parent)
{
    bundle content;
    content.version = version;
    content.parent = parent;
    content.approvers = { { testKey().keyId, testKey().keys.publicKey } };
    service_spec desk;
    desk.name = "desk";
    desk.prefix = "/desk";
    desk.deadline = std::chrono::seconds(1);
    desk.replicas.resize(1);
    desk.replicas[0].id = "d1";
    desk.replicas[0].host = "h1";
    desk.replicas[0].failureDomain = "merzouga";
    desk.replicas[0].address = "127.0.0.1:9000";
    content.services = { desk };
    const std::string canonical = canonicalBundle(content);
    return { content, canonical, bundleHash(canonical) };
}

bundle_signature signatureOf(const bundle_file &file)
{
    return signBundle(file, testKey()).value();
}

// A log and routers on virtual time, with scripted faults.
struct fake_world
{
    std::vector<log_record> records;
    bool logIsDown = false;
    int lostAnswers = 0; // appends that take effect without an answer
    std::function<void()> beforeAppend;
    std::map<std::string, std::function<http_response(const http_request &)>> routers;
    time_point now{};
    random_fn random = seededRandom(1);

    void store(const std::string &id, const control_record &body)
    {
        const auto offset = static_cast<std::int64_t>(records.size());
        records.push_back({ offset, id, unix_millis(offset), recordBody(body) });
    }

    void publishDirectly(const bundle_file &file)
    {
        const bundle_signature signature = signatureOf(file);
        const std::string id = std::to_string(records.size());
        store("p" + id, bundle_proposed{ file.content.version, file.content.parent, file.hash,
                                         file.canonical });
        store("s" + id, bundle_signed{ signature.version, signature.hash, signature.keyId,
                                       signature.signature });
    }

    ctl_hooks hooks()
    {
        ctl_hooks made;
        made.append = [this](const std::vector<log_record> &appended, duration) {
            return append(appended);
        };
        made.read = [this](std::int64_t from, duration) { return read(from); };
        made.call = [this](const std::string &address, const http_request &request,
                           duration) -> result<http_response> {
            const auto found = routers.find(address);
            if (found == routers.end())
                return makeFailure(errc::ConnectionFailed, address);
            return found->second(request);
        };
        made.sleep = [this](duration time) { now += time; };
        made.now = [this] { return now; };
        made.wallNow = [] { return unix_millis(1'764'806'400'000); };
        made.random = random;
        return made;
    }

private:
    result<std::vector<std::int64_t>> append(const std::vector<log_record> &appended)
    {
        if (logIsDown)
            return makeFailure(errc::LogUnavailable, "no answer");
        if (beforeAppend)
            std::exchange(beforeAppend, nullptr)();
        std::vector<std::int64_t> offsets;
        for (log_record record : appended) {
            record.offset = static_cast<std::int64_t>(records.size());
            offsets.push_back(record.offset);
            records.push_back(record);
        }
        if (lostAnswers-- > 0)
            return makeFailure(errc::Timeout, "answer lost");
        return offsets;
    }

    result<control_page> read(std::int64_t from) const
    {
        if (logIsDown)
            return makeFailure(errc::LogUnavailable, "no answer");
        control_page page;
        for (auto at = static_cast<std::size_t>(from); at < records.size(); ++at)
            page.records.push_back(records[at]);
        return page;
    }
};

ctl_options testOptions()
{
    ctl_options options;
    options.approvers = { { testKey().keyId, testKey().keys.publicKey } };
    return options;
}

http_response statusBody(std::int64_t version, const std::string &hash)
{
    return { 200,
             {},
             nlohmann::json(
                     { { "router", "r1" },
                       { "ready", true },
                       { "bundle", { { "version", version }, { "hash", hash }, { "offset", 1 } } },
                       { "endpoints", { { { "id", "d1" }, { "phase", "serving" } } } } })
                     .dump() };
}

flag_registry testFlags(std::map<std::string, std::string> &values)
{
    flag_registry flags;
    flags.typeOf = [](const std::string &name) -> std::string {
        if (name == "wait" || name == "help")
            return "bool";
        return name == "platform" || name == "key_file" || name == "output" ? "string" : "";
    };
    flags.descriptionOf = [](const std::string &name) { return "about " + name; };
    flags.set = [&values](const std::string &name, const std::string &value) {
        values[name] = value;
        return value != "bad";
    };
    return flags;
}

} // namespace

TEST_CASE("a publication whose answers are lost takes effect once", "[ctl]")
{
    fake_world world;
    world.lostAnswers = 2;
    const bundle_file file = makeFile(1, 0);
    const auto outcome = publishBundle(world.hooks(), testOptions(), file, signatureOf(file));
    CHECK(outcome.status == exit_status::Ok);
    REQUIRE(world.records.size() == 6);
    CHECK(world.records[0].id == world.records[2].id);
    CHECK(world.records[0].id != world.records[1].id);
    // Publishing again changes nothing.
    const auto again = publishBundle(world.hooks(), testOptions(), file, signatureOf(file));
    CHECK(again.status == exit_status::Ok);
    CHECK(world.records.size() == 6);
}

TEST_CASE("the operator who loses a race is told the version to rebase on", "[ctl]")
{
    fake_world world;
    world.publishDirectly(makeFile(1, 0));
    world.beforeAppend = [&] { world.publishDirectly(makeFile(3, 1)); };
    const bundle_file mine = makeFile(2, 1);
    const auto outcome = publishBundle(world.hooks(), testOptions(), mine, signatureOf(mine));
    CHECK(outcome.status == exit_status::Superseded);
    CHECK(outcome.document["rebase_on"] == 3);
    CHECK_THAT(renderText(outcome), Catch::Contains("superseded: rebase on version 3"));
    // Without the approvers of the first bundle the log tells nothing, which must not look like
    // an empty log.
    const auto blind = showBundleStatus(world.hooks(), {});
    CHECK(blind.status == exit_status::Refused);
    CHECK_THAT(renderText(blind), Catch::Contains("--approvers"));
    // The next attempt on the old parent appends nothing.
    const auto size = world.records.size();
    const bundle_file late = makeFile(4, 1);
    CHECK(publishBundle(world.hooks(), testOptions(), late, signatureOf(late)).status
          == exit_status::Superseded);
    CHECK(world.records.size() == size);
}

TEST_CASE("a publication without a valid sign-off is refused with the reason", "[ctl]")
{
    fake_world world;
    const bundle_file file = makeFile(1, 0);
    bundle_signature forged = signatureOf(file);
    forged.keyId = "nobody";
    const auto outcome = publishBundle(world.hooks(), testOptions(), file, forged);
    CHECK(outcome.status == exit_status::Refused);
    CHECK_THAT(renderText(outcome), Catch::Contains("not an approver's"));
    CHECK(publishBundle(world.hooks(), testOptions(), file, signatureOf(makeFile(2, 0))).status
          == exit_status::Refused);
}

TEST_CASE("without the log a publication reports that its outcome is unknown", "[ctl]")
{
    fake_world world;
    const bundle_file file = makeFile(1, 0);
    world.lostAnswers = 1'000'000;
    const auto lost = publishBundle(world.hooks(), testOptions(), file, signatureOf(file));
    CHECK(lost.status == exit_status::Unavailable);
    CHECK_THAT(renderText(lost), Catch::Contains("may still come into force"));
    world.logIsDown = true;
    CHECK(publishBundle(world.hooks(), testOptions(), file, signatureOf(file)).status
          == exit_status::Unavailable);
}

TEST_CASE("publish waits until every router states the version", "[ctl]")
{
    fake_world world;
    const bundle_file file = makeFile(1, 0);
    const time_point inForce = world.now + std::chrono::seconds(2);
    world.routers["a"] = [&](const http_request &) {
        return statusBody(world.now < inForce ? 0 : 1, file.hash);
    };
    ctl_options options = testOptions();
    options.routers = { "a" };
    options.wait = true;
    CHECK(publishBundle(world.hooks(), options, file, signatureOf(file)).status == exit_status::Ok);
    CHECK(world.now >= inForce);
    CHECK(showBundleStatus(world.hooks(), options).status == exit_status::Ok);
    options.routers = { "a", "b" };
    const auto partly = publishBundle(world.hooks(), options, file, signatureOf(file));
    CHECK(partly.status == exit_status::Unavailable);
    world.routers["b"] = [](const http_request &) { return statusBody(1, "other"); };
    CHECK(showBundleStatus(world.hooks(), options).status == exit_status::Refused);
}

TEST_CASE("a drain goes to the routers while the log is down", "[ctl]")
{
    fake_world world;
    world.publishDirectly(makeFile(1, 0));
    ctl_options options = testOptions();
    CHECK(drainHost(world.hooks(), options, "h1").status == exit_status::Ok);
    CHECK_THAT(renderText(showHostStatus(world.hooks(), options)),
               Catch::Contains("h1: drained, merzouga, endpoints d1"));
    CHECK(undrainHost(world.hooks(), options, "h1").status == exit_status::Ok);
    CHECK_THAT(renderText(showHostStatus(world.hooks(), options)), Catch::Contains("h1: in use"));

    world.logIsDown = true;
    CHECK(drainHost(world.hooks(), options, "h1").status == exit_status::Unavailable);
    std::string told;
    world.routers["a"] = [&](const http_request &request) {
        told = request.method + request.target + request.body;
        return http_response{};
    };
    options.routers = { "a" };
    const auto outcome = drainHost(world.hooks(), options, "h1");
    CHECK(outcome.status == exit_status::Ok);
    CHECK(outcome.document["recorded"] == false);
    CHECK(told == R"(POST/drain{"host":"h1"})");
    options.routers = { "a", "b" };
    CHECK(drainHost(world.hooks(), options, "h1").status == exit_status::Unavailable);
    CHECK(undrainHost(world.hooks(), options, "h1").status == exit_status::Unavailable);
}

TEST_CASE("the spans of all routers form one tree", "[ctl]")
{
    const auto answer = [](const std::string &spans) {
        return [spans](const http_request &) {
            return http_response{
                200, {}, R"({"resourceSpans":[{"scopeSpans":[{"spans":[)" + spans + "]}]}]}"
            };
        };
    };
    const auto span = [](const std::string &id, const std::string &parent, int start) {
        return R"({"spanId":")" + id + R"(","parentSpanId":")" + parent + R"(","name":")" + id
               + R"(","startTimeUnixNano":")" + std::to_string(start) + R"(","endTimeUnixNano":")"
               + std::to_string(start + 1'500'000)
               + R"(","attributes":[{"key":"attempt","value":{"intValue":"1"}}]})";
    };
    fake_world world;
    world.routers["a"] = answer(span("root", "", 1000) + "," + span("hop2", "root", 4000) + ","
                                + span("hop1", "root", 2000));
    // The same span from two routers, a missing parent, and a cycle.
    world.routers["b"] = answer(span("hop1", "root", 2000) + "," + span("orphan", "gone", 3000)
                                + "," + span("x", "y", 5000) + "," + span("y", "x", 6000));
    world.routers["c"] = [](const http_request &) { return http_response{ 404, {}, "" }; };
    ctl_options options;
    options.routers = { "a", "b", "c" };
    const std::string id(32, 'a');
    const auto outcome = showTrace(world.hooks(), options, id);
    CHECK(outcome.status == exit_status::Ok);
    CHECK(outcome.document["spans"].size() == 6);
    CHECK(outcome.text
          == "root  +0.000 ms  1.500 ms  attempt=1\n  hop1  +0.001 ms  1.500 ms  attempt=1\n"
             "  hop2  +0.003 ms  1.500 ms  attempt=1\norphan  +0.002 ms  1.500 ms  attempt=1\n"
             "x  +0.004 ms  1.500 ms  attempt=1\n  y  +0.005 ms  1.500 ms  attempt=1\n");
    options.routers = { "c" };
    CHECK(showTrace(world.hooks(), options, id).status == exit_status::Refused);
    options.routers = { "down" };
    CHECK(showTrace(world.hooks(), options, id).status == exit_status::Unavailable);
}

TEST_CASE("a key file is private and is never overwritten", "[ctl]")
{
    const std::string path = "ctl_test_key." + std::to_string(::getpid()) + ".json";
    std::remove(path.c_str());
    REQUIRE(generateKey("amina", path).status == exit_status::Ok);
    struct stat info = {};
    REQUIRE(::stat(path.c_str(), &info) == 0);
    CHECK((info.st_mode & 0777U) == 0600U);
    CHECK(generateKey("brahim", path).status == exit_status::Refused);
    const auto key = loadKeyFile(path);
    std::remove(path.c_str());
    REQUIRE(key);
    CHECK(key.value().keyId == "amina");
    const bundle_file file = makeFile(1, 0);
    CHECK(verifySignature(file.hash, signBundle(file, key.value()).value().signature,
                          key.value().keys.publicKey));
}

TEST_CASE("wrong usage is refused before anything is sent", "[ctl]")
{
    std::map<std::string, std::string> values;
    const flag_registry flags = testFlags(values);
    const auto parse
            = [&](const std::vector<std::string> &args) { return parseCommandLine(args, flags); };
    const auto line = parse({ "bundle", "publish", "--key-file", "k", "b.yaml", "--nowait" });
    REQUIRE(line);
    CHECK(line.value().command->name == "bundle publish");
    CHECK(line.value().argument == "b.yaml");
    CHECK(values["key_file"] == "k");
    CHECK(values["wait"] == "false");
    CHECK_FALSE(parse({ "bundle", "publish", "b.yaml" }));
    CHECK_FALSE(parse({ "bundle", "check" }));
    CHECK_FALSE(parse({ "bundle", "check", "a", "b" }));
    CHECK_FALSE(parse({ "bundle", "check", "a", "--wait" }));
    CHECK_FALSE(parse({ "bundle", "check", "a", "--colour=red" }));
    CHECK_FALSE(parse({ "bundle", "check", "a", "--output=bad" }));
    CHECK_FALSE(parse({ "bundle", "check", "a", "--output" }));
    CHECK_FALSE(parse({ "bundle", "chekc", "a" }));
    CHECK_FALSE(parse({}));
    CHECK(parse({ "--help" }).value().command == nullptr);
    for (const command_spec &command : commands()) {
        const std::size_t space = command.name.find(' ');
        const auto help = parse(
                { command.name.substr(0, space), command.name.substr(space + 1), "--help" });
        REQUIRE(help);
        const std::string text = helpText(help.value().command, flags);
        for (const std::string &flag : command.flags)
            CHECK_THAT(text, Catch::Contains("--" + flag));
    }
}

} // namespace fescuedeck
