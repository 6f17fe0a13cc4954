#include "state/configuration_difference.h"

#include <map>
#include <sstream>

#include <boost/json.hpp>

namespace daisywinch {

namespace {

/// The fields and list items of a configuration as JSON text, by label (the
/// field, followed by the name of the item in a list).
std::map<std::string, std::string> DescribeItems(
    const Configuration& configuration) {
  std::map<std::string, std::string> items;
  for (const boost::json::key_value_pair& field :
       WriteConfiguration(configuration)) {
    const std::string name = field.key();
    if (name == "version") {
      continue;
    }
    if (!field.value().is_array()) {
      items[name] = boost::json::serialize(field.value());
      continue;
    }
    for (const boost::json::value& item : field.value().get_array()) {
      std::string label = name;
      label += " \"";
      label += item.at("name").as_string();
      label += "\"";
      items[label] = boost::json::serialize(item);
    }
  }
  return items;
}

}  // namespace

std::string DescribeDifference(const Configuration& previous,
                               const Configuration& next) {
  std::map<std::string, std::string> removed = DescribeItems(previous);
  std::ostringstream text;
  for (const auto& [label, description] : DescribeItems(next)) {
    const auto before = removed.find(label);
    if (before == removed.end()) {
      text << "added " << label << ": " << description << "\n";
      continue;
    }
    if (before->second != description) {
      text << "changed " << label << ": " << before->second << " -> "
           << description << "\n";
    }
    removed.erase(before);
  }
  for (const auto& [label, description] : removed) {
    text << "removed " << label << "\n";
  }
  return text.str();
}

}  // namespace daisywinch
