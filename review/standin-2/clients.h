// Clients that follow the pages: a request of one client attempt, and its result.
#ifndef REVIEW_STANDIN_2_CLIENTS_H
#define REVIEW_STANDIN_2_CLIENTS_H

#include <atomic>

#include "replica.h"

namespace standin {

constexpr const char *host = "desk.example";
constexpr const char *apiKey = "n2ctnfzs989anu6wsjnb";

struct call
{
    std::string method = "GET", target, id, body;
    std::vector<std::pair<std::string, std::string>> more = {}; // headers
    int limitMs = 4000;
};

struct call_result
{
    int status = 0; // 0 without an answer
    bool isWhole = false;
    bool hasSeal = false;
    std::string retryAfter, body;

    bool isServed() const { return status == 200 && isWhole && hasSeal; }
};

inline std::string textOf(const call &request)
{
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\nHost: " + host
                       + "\r\nRequest-Id: " + request.id
                       + "\r\nDeadline-Milliseconds: " + std::to_string(request.limitMs)
                       + "\r\nAuthorization: Token " + apiKey + "\r\n";
    for (const auto &[name, value] : request.more)
        text += name + ": " + value + "\r\n";
    if (request.method != "GET")
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n" + request.body;
}

// Sends on a connection, which is closed unless it may be used again.
inline call_result sendOn(connection &to, const call &request,
                          const std::function<void(const std::string &)> &onPart = {})
{
    call_result result;
    message answer;
    to.readUntil(steady::now() + std::chrono::milliseconds(request.limitMs));
    if (!to.write(textOf(request)) || !to.readResponse(answer, onPart)) {
        to.close();
        return result;
    }
    result.status = answer.status;
    result.isWhole = answer.isComplete;
    result.hasSeal = answer.header("Response-Seal") == "seal-" + request.id
                     && answer.header("Request-Id") == request.id;
    result.retryAfter = answer.header("Retry-After");
    result.body = answer.body;
    if (!answer.isComplete || strcasecmp(answer.header("Connection").c_str(), "close") == 0)
        to.close();
    return result;
}

inline call_result sendOnce(int port, const call &request, const std::string &from = "127.0.0.1")
{
    connection to;
    return to.connect(port, from) ? sendOn(to, request) : call_result{};
}

inline std::string newId()
{
    static std::atomic<int> last{ 0 };
    char text[32];
    std::snprintf(text, sizeof(text), "%08x%08x", static_cast<unsigned>(::getpid()),
                  static_cast<unsigned>(++last));
    return text;
}

inline std::string configJson(int version)
{
    const std::string key
            = std::string("{\"name\":\"hule930\",\"apiKeys\":[\"") + apiKey + "\"],\"priority\":1}";
    const auto route = [](const char *name, const char *path, const char *kind, const char *rest) {
        return std::string("{\"name\":\"") + name + "\",\"host\":\"" + host + "\",\"pathPrefix\":\""
               + path + "\",\"kind\":\"" + kind + "\",\"public\":false,\"priority\":1," + rest
               + "}";
    };
    return "{\"version\":" + std::to_string(version) + ",\"routes\":["
           + route("r-lookup", "/lookup/", "safe",
                   "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"service\":\"waiver-desk\","
                   "\"maxAttempts\":2")
           + ","
           + route("r-sign", "/sign/", "unsafe",
                   "\"timeoutMs\":2000,\"targetLatencyMs\":300,\"service\":\"waiver-desk\","
                   "\"maxAttempts\":1")
           + ","
           + route("r-draft", "/draft/", "streaming",
                   "\"timeoutMs\":20000,\"targetLatencyMs\":500,\"service\":\"drafting-llm\","
                   "\"maxAttempts\":2,\"sessionAffinity\":true,\"streamResumption\":true,"
                   "\"targetGapMs\":200")
           + "],\"services\":[{\"name\":\"drafting-llm\",\"healthCheckPath\":\"/health\","
             "\"connectionLimit\":1058,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":192,"
             "\"kvCacheTokens\":100000,\"kvTokenBytes\":459000,\"linkMbps\":480000.0,\"stride\":2,"
             "\"models\":[{\"name\":\"m0\",\"pace\":1.0,\"loadTimeS\":14.0,\"warmS\":1.0}],"
             "\"step_ms\":0.85,\"per_seq_ms\":0.00297,\"context_per_k\":0.00398,"
             "\"read_per_s\":252000.0,\"pairs_per_m\":0.129,\"chunk\":512,\"report_lag_ms\":200.0,"
             "\"loadsPerS\":0.0,\"loads_at_once\":6,\"delays\":[],\"usual\":{\"prompt\":772,"
             "\"answer\":154},\"layers\":80,\"layerMb\":1750.0,\"activationBytes\":22900,"
             "\"pipeMbps\":7900.0,\"kinds\":[{\"name\":\"a100s\",\"sizeMb\":36000.0,\"pace\":3.1,"
             "\"readFactor\":3.2}]}},{\"name\":\"waiver-desk\",\"healthCheckPath\":\"/health\","
             "\"connectionLimit\":96,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
             "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
             "\"idleTimeoutMs\":15000},\"tenants\":["
           + key + "]}";
}

} // namespace standin

#endif
