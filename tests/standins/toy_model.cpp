#include "standins/toy_model.h"

#include <array>
#include <cstdio>
#include <cstdlib>

#include "fescuedeck/base/hash.h"

namespace fescuedeck::standins {
namespace {

constexpr std::array<std::string_view, 32> vocabulary = {
    "dune",  "rider", "camel",  "tent",  "saddle", "convoy", "waiver", "sand",
    "clay",  "glaze", "kiln",   "crate", "vase",   "lot",    "flaw",   "seal",
    "dawn",  "water", "guide",  "rope",  "well",   "stone",  "market", "ledger",
    "notes", "signs", "covers", "holds", "leaves", "rests",  "turns",  "ends",
};
// One state in this many ends the draft once it has minDraftTokens.
constexpr std::uint64_t endModulus = 24;
constexpr std::size_t stateDigits = 16;

std::string wordOf(std::size_t index)
{
    return " " + std::string(vocabulary[index]);
}

} // namespace

std::vector<int> tokenizeBytes(std::string_view text)
{
    std::vector<int> tokens;
    tokens.reserve(text.size());
    for (const char byte : text)
        tokens.push_back(static_cast<unsigned char>(byte));
    return tokens;
}

std::string textOf(const std::vector<int> &tokens)
{
    std::string text;
    for (const int token : tokens) {
        const int word = token - firstWordToken;
        if (token >= 0 && token < firstWordToken)
            text.push_back(static_cast<char>(token));
        else if (word >= 0 && word < static_cast<int>(vocabulary.size()))
            text += wordOf(static_cast<std::size_t>(word));
    }
    return text;
}

std::string encodeActivation(const activation &value)
{
    std::array<char, 40> text{};
    std::snprintf(text.data(), text.size(), "%016llx:%d",
                  static_cast<unsigned long long>(value.state), value.token);
    return text.data();
}

std::optional<activation> decodeActivation(std::string_view text)
{
    if (text.size() < stateDigits + 2 || text[stateDigits] != ':')
        return std::nullopt;
    const std::string state(text.substr(0, stateDigits));
    const std::string token(text.substr(stateDigits + 1));
    char *stateEnd = nullptr;
    char *tokenEnd = nullptr;
    activation value;
    value.state = std::strtoull(state.c_str(), &stateEnd, 16);
    value.token = static_cast<int>(std::strtol(token.c_str(), &tokenEnd, 10));
    if (*stateEnd != '\0' || *tokenEnd != '\0')
        return std::nullopt;
    return value;
}

std::uint64_t identityHash(const model_identity &model)
{
    return stableHash(model.name + "/" + model.version + "/" + model.adapter);
}

std::uint64_t foldLayer(std::uint64_t identity, int layer, const activation &input,
                        std::uint64_t kv)
{
    const std::array<std::uint64_t, 4> words = { static_cast<std::uint64_t>(layer), input.state,
                                                 static_cast<std::uint64_t>(input.token), kv };
    return stableHash({ reinterpret_cast<const char *>(words.data()), sizeof(words) }, identity);
}

next_token tokenOf(std::uint64_t state, int index)
{
    const std::size_t word = state % vocabulary.size();
    const int length = index + 1;
    const bool ends = length >= minDraftTokens && (state / vocabulary.size()) % endModulus == 0;
    return { firstWordToken + static_cast<int>(word), wordOf(word),
             ends || length >= maxDraftTokens };
}

std::vector<next_token> expectedDraft(const model_identity &model, std::string_view prompt,
                                      int maxTokens)
{
    const std::uint64_t identity = identityHash(model);
    std::vector<std::uint64_t> kv(static_cast<std::size_t>(model.layers), 0);
    std::vector<int> input = tokenizeBytes(prompt);
    std::vector<next_token> draft;
    while (static_cast<int>(draft.size()) < maxTokens) {
        activation value;
        for (const int token : input) {
            value = { 0, token };
            for (int layer = 0; layer < model.layers; ++layer) {
                value.state = foldLayer(identity, layer, value, kv[layer]);
                kv[layer] = value.state;
            }
        }
        draft.push_back(tokenOf(value.state, static_cast<int>(draft.size())));
        if (draft.back().finished)
            break;
        input = { draft.back().id };
    }
    return draft;
}

std::string expectedText(const model_identity &model, std::string_view prompt, int maxTokens)
{
    std::string text;
    for (const next_token &token : expectedDraft(model, prompt, maxTokens))
        text += token.text;
    return text;
}

} // namespace fescuedeck::standins
