#include "cases.h"

#include <algorithm>

#include <csignal>

namespace review {
namespace {

constexpr const char *apiKey = "key-of-tenant-a";
constexpr const char *deskService = "desk";
constexpr int deadlineMs = 4000;

// One unsafe and one safe route to the desk, with the bounds of a small deployment.
std::string configText(int version)
{
    const std::string common = ",\"timeoutMs\":2000,\"targetLatencyMs\":300,\"priority\":2,"
                               "\"service\":\"desk\",\"public\":false";
    return "{\"version\":" + std::to_string(version)
           + ",\"routes\":[{\"name\":\"sign\",\"host\":\"desk.example\",\"pathPrefix\":\"/sign/\","
             "\"kind\":\"unsafe\",\"maxAttempts\":1"
           + common
           + "},{\"name\":\"look\",\"host\":\"desk.example\",\"pathPrefix\":\"/look/\","
             "\"kind\":\"safe\",\"maxAttempts\":2"
           + common
           + "}],\"services\":[{\"name\":\"desk\",\"healthCheckPath\":\"/health\","
             "\"connectionLimit\":96,\"protocol\":\"h1\",\"tls\":false}],"
             "\"tenants\":[{\"name\":\"tenant-a\",\"apiKeys\":[\""
           + std::string(apiKey)
           + "\"]}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":1048576,"
             "\"headerTimeoutMs\":10000,\"idleTimeoutMs\":60000}}";
}

std::string requestId(int number)
{
    std::string text = std::to_string(number);
    return std::string(16 - text.size(), '0') + text;
}

// The requests that ran more than once.
int countRepeated(run_log &runs, recorder &record)
{
    std::map<std::string, std::vector<std::string>> replicas;
    for (const run &each : runs.all())
        replicas[each.request].push_back(each.replica);
    int repeated = 0;
    for (const auto &[request, at] : replicas) {
        if (at.size() < 2)
            continue;
        ++repeated;
        std::string list;
        for (const std::string &name : at)
            list += " " + name;
        record.note("request " + request + " ran more than once, at:" + list);
    }
    return repeated;
}

// A replica sends one refusal too many, late, at the point where the next answer is expected.
int playRepeatedRefusal(const case_context &context)
{
    constexpr int requests = 40;
    constexpr int disturbedRequest = 20;
    store platformStore(context.record);
    platformStore.put("keyed.op", "config", configText(7));
    run_log runs;
    std::atomic<int> served{ 0 };
    std::atomic<bool> isDisturbed{ false };
    const auto serve = [&](replica &self, connection &with, const message &request) {
        if (context.hasTrouble && ++served == disturbedRequest) {
            isDisturbed = true;
            context.record.note(self.id + " sends additional bytes: 503 with Not-Executed and "
                                          "without Request-Id, before its answer to "
                                + request.header("request-id"));
            with.write(responseText(503, { { "Not-Executed", "1" } }, ""));
        }
        return self.runAndAnswer(with, request, 20);
    };
    replica first("i-1", deskService, "merzouga", platformStore, runs, context.record, serve);
    replica second("i-2", deskService, "merzouga", platformStore, runs, context.record, serve);
    replica third("i-3", deskService, "merzouga", platformStore, runs, context.record, serve);
    for (replica *each : { &first, &second, &third })
        each->announce("ready");
    gateway_process gateway(context.gateway, context.folder, "front-merzouga-1", "merzouga",
                            platformStore.port(), context.record);
    gateway.start();
    if (!gateway.waitUntilReady(10000))
        return couldNotRun;
    sleepMs(4000); // contactMs after the start
    client caller(gateway.frontPort(), apiKey);
    int good = 0;
    for (int i = 1; i <= requests; ++i) {
        const message answer
                = caller.send("POST", "/sign/2f", requestId(i), "rider " + std::to_string(i),
                              deadlineMs);
        context.record.note("client sent " + requestId(i) + " and got "
                            + std::to_string(answer.status));
        good += answer.status == 200 ? 1 : 0;
        sleepMs(50);
    }
    if (good < requests / 2 || (context.hasTrouble && !isDisturbed))
        return couldNotRun;
    sleepMs(500);
    return countRepeated(runs, context.record) > 0 ? ruleBroken : ruleHeld;
}

// Entries of another writer that cannot be read.
int playOddEntries(const case_context &context)
{
    store platformStore(context.record);
    platformStore.put("keyed.op", "config", configText(7));
    run_log runs;
    const auto serve = [&](replica &self, connection &with, const message &request) {
        return self.runAndAnswer(with, request, 20);
    };
    replica first("i-1", deskService, "merzouga", platformStore, runs, context.record, serve);
    first.announce("ready");
    gateway_process gateway(context.gateway, context.folder, "front-merzouga-1", "merzouga",
                            platformStore.port(), context.record);
    gateway.start();
    if (!gateway.waitUntilReady(10000))
        return couldNotRun;
    std::string deep(200000, '[');
    std::string nested = "{\"service\":\"desk\",\"x\":" + deep + std::string(200000, ']') + "}";
    std::string good = entryText("desk", 1, "merzouga", "ready", 1, 5);
    platformStore.put("keyed.servers", "z1", deep);
    platformStore.put("keyed.servers", "z2", nested);
    platformStore.put("keyed.servers", "z3",
                      "{\"x\":" + deep.substr(0, 120000) + std::string(120000, ']') + ","
                              + good.substr(1));
    platformStore.put("keyed.servers", std::string(255, 'k'), good);
    platformStore.put("keyed.servers", "z5",
                      "{\"service\":\"desk\",\"address\":\"[::1]:99999\",\"slots\":1e300,"
                      "\"state\":\"ready\",\"born\":1e400,\"sequence\":-9223372036854775808,"
                      "\"layers\":{\"from\":0,\"to\":99999}}");
    platformStore.put("keyed.servers", "z6",
                      "{\"service\":\"desk\",\"address\":\"127.0.0.1:1\",\"slots\":3,"
                      "\"state\":\"ready\",\"born\":\"x\",\"sequence\":1.5,\"zone\":7,"
                      "\"layers\":{\"from\":0,\"to\":99999}}");
    client caller(gateway.frontPort(), apiKey);
    for (int i = 1; i <= 40; ++i) {
        const message answer = caller.send("POST", "/sign/2f", requestId(i), "x", deadlineMs);
        context.record.note("client got " + std::to_string(answer.status));
        sleepMs(50);
        if (const auto how = gateway.ended()) {
            context.record.note("the gateway ended: " + *how);
            return ruleBroken;
        }
    }
    // started again with these entries
    gateway.kill();
    gateway.start();
    if (!gateway.waitUntilReady(10000))
        return ruleBroken;
    return gateway.ended() ? ruleBroken : ruleHeld;
}

} // namespace

int playCase(const std::string &name, const case_context &context)
{
    if (name == "repeated-refusal")
        return playRepeatedRefusal(context);
    if (name == "odd-entries")
        return playOddEntries(context);
    return couldNotRun;
}

} // namespace review
