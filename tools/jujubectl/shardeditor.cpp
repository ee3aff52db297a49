#include "jujubectl/shardeditor.h"

#include "core/text.h"

#include <absl/strings/str_split.h>
#include <toml++/toml.h>

#include <algorithm>
#include <sstream>

namespace jujube::tools {

namespace {

std::string toText(const toml::table &table)
{
    std::ostringstream out;
    out << table << "\n";
    return out.str();
}

toml::array &arrayNamed(toml::table &root, std::string_view name)
{
    return *root.insert(name, toml::array{}).first->second.as_array();
}

std::string stringMember(const toml::node &node, std::string_view key)
{
    const toml::table *table = node.as_table();
    return table ? (*table)[key].value_or(std::string()) : std::string();
}

// Finds or adds the table with the settings of one endpoint. A new one has the intent "active".
toml::table &endpointTable(toml::table &root, const std::string &vm)
{
    toml::array &engines = arrayNamed(root, "engine");
    for (toml::node &it : engines) {
        if (stringMember(it, "vm") == vm)
            return *it.as_table();
    }
    engines.push_back(toml::table{{"vm", vm}, {"intent", "active"}});
    return *engines.back().as_table();
}

} // namespace

std::string addKey(const std::string &shard, const core::KeyRecord &record)
{
    toml::table root = toml::parse(shard);
    arrayNamed(root, "key")
        .push_back(toml::table{{"id", record.keyId},
                               {"team", record.team},
                               {"salt", record.salt},
                               {"hash", record.hash}});
    return toText(root);
}

absl::StatusOr<std::string> removeKey(const std::string &shard, const std::string &keyId)
{
    toml::table root = toml::parse(shard);
    toml::array &keys = arrayNamed(root, "key");
    for (auto it = keys.begin(); it != keys.end(); ++it) {
        if (stringMember(*it, "id") != keyId)
            continue;
        keys.erase(it);
        return toText(root);
    }
    return absl::NotFoundError(core::concat("no key with id '", keyId, "'"));
}

std::string setIntent(const std::string &shard, const std::string &vm, core::EngineIntent intent)
{
    toml::table root = toml::parse(shard);
    endpointTable(root, vm).insert_or_assign("intent", std::string(core::intentName(intent)));
    return toText(root);
}

std::string pinRole(const std::string &shard, const std::string &vm, const std::string &role)
{
    toml::table root = toml::parse(shard);
    toml::table &endpoint = endpointTable(root, vm);
    if (role.empty())
        endpoint.erase("role");
    else
        endpoint.insert_or_assign("role", role);
    return toText(root);
}

std::string lineDiff(const std::string &before, const std::string &after)
{
    const std::vector<std::string> a = absl::StrSplit(before, '\n');
    const std::vector<std::string> b = absl::StrSplit(after, '\n');
    // Lengths of the longest common subsequences of the line suffixes.
    std::vector<std::vector<size_t>> common(a.size() + 1, std::vector<size_t>(b.size() + 1, 0));
    for (size_t i = a.size(); i-- > 0;) {
        for (size_t j = b.size(); j-- > 0;) {
            common[i][j] = a[i] == b[j] ? common[i + 1][j + 1] + 1
                                        : std::max(common[i + 1][j], common[i][j + 1]);
        }
    }
    std::string out;
    size_t i = 0;
    size_t j = 0;
    while (i < a.size() || j < b.size()) {
        if (i < a.size() && j < b.size() && a[i] == b[j]) {
            core::append(out, "  ", a[i], "\n");
            ++i;
            ++j;
        } else if (j >= b.size() || (i < a.size() && common[i + 1][j] >= common[i][j + 1])) {
            core::append(out, "- ", a[i++], "\n");
        } else {
            core::append(out, "+ ", b[j++], "\n");
        }
    }
    return out;
}

} // namespace jujube::tools
