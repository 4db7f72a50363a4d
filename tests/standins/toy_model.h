// The deterministic computation that stand-in engines run in place of a language model.
//
// Each layer folds its index, the previous layer's state and the token into a 64-bit state, using
// the state that it kept for the previous position (its KV cache). A layer that is skipped,
// repeated or run out of order therefore changes the text. Tests compare a router's output with
// expectedText(). Prompts are tokenized as one token per byte; generated words have ids from
// firstWordToken on. All functions are pure and thread-safe.
#ifndef FESCUEDECK_STANDINS_TOY_MODEL_H
#define FESCUEDECK_STANDINS_TOY_MODEL_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuedeck::standins {

struct model_identity
{
    std::string name;
    std::string version;
    std::string adapter;
    int layers = 0;
};

struct next_token
{
    int id = 0;
    std::string text;
    bool finished = false;
};

// What one stage passes to the next for one input position. The token travels along because every
// layer folds it.
struct activation
{
    std::uint64_t state = 0;
    int token = 0;
};

constexpr int firstWordToken = 256;
// A draft ends between these two lengths, in tokens.
constexpr int minDraftTokens = 24;
constexpr int maxDraftTokens = 64;

std::vector<int> tokenizeBytes(std::string_view text);
// Text of the byte tokens and words, in order; ids outside the vocabulary give nothing.
std::string textOf(const std::vector<int> &tokens);

// "<state as 16 hex digits>:<token>".
std::string encodeActivation(const activation &value);
std::optional<activation> decodeActivation(std::string_view text);

std::uint64_t identityHash(const model_identity &model);
// kv is the state that this layer reached at the previous position, 0 at the first one.
std::uint64_t foldLayer(std::uint64_t identity, int layer, const activation &input,
                        std::uint64_t kv);
// Maps the last layer's state to a token; index counts the tokens generated before it.
next_token tokenOf(std::uint64_t state, int index);

std::vector<next_token> expectedDraft(const model_identity &model, std::string_view prompt,
                                      int maxTokens);
std::string expectedText(const model_identity &model, std::string_view prompt, int maxTokens);

} // namespace fescuedeck::standins

#endif
