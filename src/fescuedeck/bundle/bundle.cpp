#include "fescuedeck/bundle/bundle.h"

#include <algorithm>

#include <boost/algorithm/string/replace.hpp>

namespace fescuedeck {
namespace {

std::string pathOf(const std::string &target)
{
    return target.substr(0, target.find_first_of("?#"));
}

bool isOddSegment(std::string segment)
{
    boost::algorithm::ireplace_all(segment, "%2e", ".");
    return segment.empty() || segment == "." || segment == "..";
}

// An encoded slash or a backslash is a separator for some servers.
bool hasAmbiguousSeparator(const std::string &path)
{
    return path.find('\\') != std::string::npos || path.find("%2f") != std::string::npos
           || path.find("%2F") != std::string::npos || path.find("%5c") != std::string::npos
           || path.find("%5C") != std::string::npos;
}

// True if every reader of the path agrees on its segments. One trailing slash is permitted.
bool isUnambiguousPath(const std::string &path)
{
    if (path.empty() || path.front() != '/' || hasAmbiguousSeparator(path))
        return false;
    std::size_t begin = 1;
    while (begin < path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        if (isOddSegment(path.substr(begin, end - begin)))
            return false;
        begin = end + 1;
    }
    return true;
}

bool contains(const std::vector<std::string> &values, const std::string &value)
{
    return std::find(values.begin(), values.end(), value) != values.end();
}

} // namespace

const model_spec *findModel(const bundle &content, const std::string &name)
{
    for (const model_spec &model : content.models) {
        if (model.name == name)
            return &model;
    }
    return nullptr;
}

const service_spec *findService(const bundle &content, const std::string &target)
{
    const std::string path = pathOf(target);
    for (const service_spec &service : content.services) {
        if (detail::isPathPrefix(service.prefix, path))
            return &service;
    }
    return nullptr;
}

const operation_spec *findOperation(const service_spec &service, const std::string &method,
                                    const std::string &target)
{
    const std::string path = pathOf(target);
    if (!isUnambiguousPath(path))
        return nullptr;
    const operation_spec *best = nullptr;
    for (const operation_spec &operation : service.operations) {
        if (operation.method != method || !detail::isPathPrefix(operation.path, path))
            continue;
        if (best == nullptr || operation.path.size() > best->path.size())
            best = &operation;
    }
    return best;
}

bool isIdempotent(const service_spec &service, const std::string &method, const std::string &target)
{
    const operation_spec *operation = findOperation(service, method, target);
    return operation != nullptr && operation->idempotent;
}

bool mayUseModel(const workspace_spec &workspace, const std::string &model)
{
    return contains(workspace.models, model);
}

bool mayUseService(const workspace_spec &workspace, const std::string &service)
{
    return contains(workspace.services, service);
}

namespace detail {

bool isPathPrefix(const std::string &prefix, const std::string &path)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    const bool endsSegment = !prefix.empty() && prefix.back() == '/';
    return endsSegment || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace detail
} // namespace fescuedeck
