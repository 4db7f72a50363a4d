#include "fescuedeck/load/token_check.h"

#include <algorithm>

namespace fescuedeck {
namespace {

std::string joined(const std::vector<std::string> &tokens)
{
    std::string text;
    for (const std::string &token : tokens)
        text += token;
    return text;
}

int commonLength(const std::vector<std::string> &a, const std::vector<std::string> &b)
{
    std::vector<int> previous(b.size() + 1, 0);
    std::vector<int> current(b.size() + 1, 0);
    for (const std::string &token : a) {
        for (std::size_t i = 0; i < b.size(); ++i) {
            current[i + 1]
                    = token == b[i] ? previous[i] + 1 : std::max(current[i], previous[i + 1]);
        }
        std::swap(previous, current);
    }
    return previous.back();
}

} // namespace

token_difference compareTokens(const std::vector<std::string> &reference,
                               const std::vector<std::string> &received)
{
    if (reference == received || joined(reference) == joined(received))
        return {};
    const int common = commonLength(reference, received);
    return { static_cast<int>(received.size()) - common,
             static_cast<int>(reference.size()) - common };
}

token_difference token_references::check(const std::string &prompt,
                                         const std::vector<std::string> &received)
{
    const auto [reference, isNew] = m_references.emplace(prompt, received);
    return isNew ? token_difference{} : compareTokens(reference->second, received);
}

void token_references::setReference(const std::string &prompt, std::vector<std::string> tokens)
{
    m_references[prompt] = std::move(tokens);
}

} // namespace fescuedeck
