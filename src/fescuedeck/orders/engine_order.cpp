#include "fescuedeck/orders/engine_order.h"

#include <nlohmann/json.hpp>

namespace fescuedeck {
namespace {

using json = nlohmann::json;

int layersOf(const std::string &model, const std::vector<std::pair<std::string, int>> &modelLayers)
{
    for (const auto &[name, layers] : modelLayers) {
        if (name == model)
            return layers;
    }
    return 0;
}

engine_load parseLoad(const json &entry)
{
    engine_load load;
    load.model = entry.at("model").get<std::string>();
    load.version = entry.at("version").get<std::string>();
    load.layers = { entry.at("begin").get<int>(), entry.at("end").get<int>() };
    load.adapters = entry.value("adapters", std::vector<std::string>());
    return load;
}

} // namespace

std::string orderBody(const engine_order &order,
                      const std::vector<std::pair<std::string, int>> &modelLayers)
{
    json loads = json::array();
    for (const engine_load &load : order.loads)
        loads.push_back({ { "model", load.model },
                          { "version", load.version },
                          { "layers", layersOf(load.model, modelLayers) },
                          { "layer_begin", load.layers.begin },
                          { "layer_end", load.layers.end },
                          { "adapters", load.adapters } });
    return json({ { "fencing", order.fencing },
                  { "wanted", { { "role", "serving" }, { "loads", loads } } } })
            .dump(-1, ' ', true, json::error_handler_t::replace);
}

result<load_report> parseLoadReport(const std::string &body)
{
    const json tree = json::parse(body, nullptr, false);
    if (!tree.is_object())
        return makeFailure(errc::InvalidMessage, "the engine's report is not a JSON object");
    try {
        load_report report;
        report.incarnation = tree.at("incarnation").get<std::string>();
        report.isLeaving = tree.at("state").get<std::string>() == "leaving";
        for (const json &entry : tree.at("layers"))
            report.loads.push_back(parseLoad(entry));
        return report;
    } catch (const json::exception &error) {
        return makeFailure(errc::InvalidMessage,
                           std::string("the engine's report is malformed: ") + error.what());
    }
}

} // namespace fescuedeck
