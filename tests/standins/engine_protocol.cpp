#include "standins/engine_protocol.h"

#include <regex>
#include <sstream>

namespace fescuedeck::standins {
namespace {

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, separator))
        parts.push_back(part);
    return parts;
}

} // namespace

stage_call parseStageCall(const nlohmann::json &json)
{
    stage_call call;
    call.request = json.at("request").get<std::string>();
    call.attempt = json.at("attempt").get<int>();
    call.position = json.at("position").get<int>();
    call.model = json.at("model").get<std::string>();
    call.version = json.at("version").get<std::string>();
    call.adapter = json.value("adapter", std::string());
    call.layers = { json.at("layer_begin").get<int>(), json.at("layer_end").get<int>() };
    call.workspace = json.value("workspace", std::string());
    call.priority = json.value("priority", 0);
    call.tokens = json.value("tokens", std::vector<int>());
    call.activations = json.value("activations", std::vector<std::string>());
    return call;
}

nlohmann::json stageAnswerJson(const stage_call &call, const std::string &incarnation,
                               const stage_answer &answer)
{
    nlohmann::json json = { { "request", call.request },          { "attempt", call.attempt },
                            { "position", call.position },        { "model", call.model },
                            { "version", call.version },          { "adapter", call.adapter },
                            { "layer_begin", call.layers.begin }, { "layer_end", call.layers.end },
                            { "incarnation", incarnation } };
    if (answer.token) {
        json["token"] = { { "id", answer.token->id }, { "text", answer.token->text } };
        json["finished"] = answer.token->finished;
    } else {
        json["activations"] = answer.activations;
    }
    return json;
}

engine_order parseOrder(const nlohmann::json &json)
{
    engine_order order;
    order.fencing = json.at("fencing").get<std::int64_t>();
    const nlohmann::json &wanted = json.at("wanted");
    order.role = wanted.value("role", std::string());
    for (const auto &item : wanted.at("loads")) {
        model_load load;
        load.model = item.at("model").get<std::string>();
        load.version = item.at("version").get<std::string>();
        load.layers = item.at("layers").get<int>();
        load.range = { item.at("layer_begin").get<int>(), item.at("layer_end").get<int>() };
        load.adapters = item.value("adapters", std::vector<std::string>());
        order.loads.push_back(load);
    }
    return order;
}

std::string promptText(const stage_call &call)
{
    std::vector<int> tokens = call.tokens;
    for (const std::string &text : call.activations) {
        if (const auto value = decodeActivation(text))
            tokens.push_back(value->token);
    }
    return textOf(tokens);
}

result<std::vector<model_load>> parseLoads(const std::string &text)
{
    static const std::regex form("([^/]+)/([^/]+)/([0-9]+)/([0-9]+)-([0-9]+)(/([^/]+))?");
    std::vector<model_load> loads;
    for (const std::string &part : split(text, ',')) {
        std::smatch match;
        if (!std::regex_match(part, match, form))
            return makeFailure(errc::InvalidSettings,
                               "load " + part + " is not model/version/layers/begin-end");
        loads.push_back({ match[1],
                          match[2],
                          std::stoi(match[3]),
                          { std::stoi(match[4]), std::stoi(match[5]) },
                          split(match[7], '+') });
    }
    return loads;
}

} // namespace fescuedeck::standins
