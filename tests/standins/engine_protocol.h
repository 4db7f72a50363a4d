// JSON form of the engine protocol (design.md 7.1) on the engine's side. The functions throw
// nlohmann's exceptions if a field is missing or has the wrong type.
#ifndef FESCUEDECK_STANDINS_ENGINE_PROTOCOL_H
#define FESCUEDECK_STANDINS_ENGINE_PROTOCOL_H

#include <string>

#include <nlohmann/json.hpp>

#include "fescuedeck/base/error.h"
#include "standins/engine_model.h"

namespace fescuedeck::standins {

stage_call parseStageCall(const nlohmann::json &json);
// The call's identity fields, the incarnation and the result.
nlohmann::json stageAnswerJson(const stage_call &call, const std::string &incarnation,
                               const stage_answer &answer);
// {fencing, wanted:{role, loads:[{model, version, layers, layer_begin, layer_end, adapters}]}}.
engine_order parseOrder(const nlohmann::json &json);
// Text of the tokens that the call carries, in which fault rules look for their marker.
std::string promptText(const stage_call &call);
// "waiver/3/24/0-8" or "waiver/3/24/0-8/tent+dawn"; several loads are separated by commas.
result<std::vector<model_load>> parseLoads(const std::string &text);

} // namespace fescuedeck::standins

#endif
