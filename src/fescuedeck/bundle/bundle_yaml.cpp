#include "fescuedeck/bundle/bundle_yaml.h"

#include <nlohmann/json.hpp>
#include <yaml-cpp/yaml.h>

#include "fescuedeck/bundle/bundle_reader.h"

namespace fescuedeck {
namespace {

using json = nlohmann::json;

// Bounds what aliases can expand to. The planned size (2,000 replicas, 4,300 workspaces) has about
// 100,000 nodes.
constexpr int maxNodes = 2'000'000;
constexpr int maxDepth = 16;

// Converts YAML nodes to JSON, keeps scalars as strings and notes the line of each path.
class yaml_converter
{
public:
    json convert(const YAML::Node &node, const std::string &path, int depth)
    {
        if (++m_nodes > maxNodes || depth > maxDepth)
            throw YAML::Exception(node.Mark(), "the document is nested too deeply or too large");
        m_lines[path] = node.Mark().line + 1;
        if (node.IsScalar())
            return node.Scalar();
        if (node.IsSequence())
            return convertList(node, path, depth);
        if (node.IsMap())
            return convertMap(node, path, depth);
        return nullptr;
    }

    const detail::line_map &lines() const { return m_lines; }

private:
    json convertList(const YAML::Node &node, const std::string &path, int depth)
    {
        json list = json::array();
        for (const YAML::Node &element : node)
            list.push_back(
                    convert(element, path + "[" + std::to_string(list.size()) + "]", depth + 1));
        return list;
    }

    json convertMap(const YAML::Node &node, const std::string &path, int depth)
    {
        json map = json::object();
        for (const auto &entry : node) {
            if (!entry.first.IsScalar())
                throw YAML::Exception(entry.first.Mark(), "a field name must be plain text");
            const std::string name = entry.first.Scalar();
            if (map.contains(name))
                throw YAML::Exception(entry.first.Mark(), "field " + name + " is repeated");
            const std::string field = path.empty() ? name : path + "." + name;
            map[name] = convert(entry.second, field, depth + 1);
            m_lines[field] = entry.first.Mark().line + 1;
        }
        return map;
    }

    detail::line_map m_lines;
    int m_nodes = 0;
};

} // namespace

result<bundle> parseBundle(const std::string &yaml)
{
    try {
        const std::vector<YAML::Node> documents = YAML::LoadAll(yaml);
        if (documents.size() != 1)
            return makeFailure(errc::InvalidBundle, "expected one YAML document, got "
                                                            + std::to_string(documents.size()));
        yaml_converter converter;
        const json tree = converter.convert(documents.front(), "", 0);
        return detail::readBundle(tree, converter.lines());
    } catch (const YAML::Exception &error) {
        return makeFailure(errc::InvalidBundle,
                           "line " + std::to_string(error.mark.line + 1) + ": " + error.msg);
    }
}

} // namespace fescuedeck
