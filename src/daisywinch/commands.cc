#include "daisywinch/commands.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <absl/flags/flag.h>

#include "daisywinch/operator_client.h"
#include "node/mesh_node.h"
#include "node/node.h"
#include "node/settings_watcher.h"
#include "state/configuration.h"
#include "state/configuration_difference.h"
#include "state/configuration_generator.h"
#include "state/event_log.h"
#include "state/key_digest.h"
#include "state/memory_budget.h"
#include "state/mesh_settings.h"
#include "state/object_reader.h"
#include "state/settings.h"
#include "transport/document_file.h"

ABSL_FLAG(std::string, settings, "", "file with the settings of a node");
ABSL_FLAG(std::string,
          answers,
          "",
          "file with the answers to the questionnaire");
ABSL_FLAG(std::string, configuration, "", "file with a configuration");
ABSL_FLAG(std::string,
          previous,
          "",
          "file with the configuration that was generated last");
ABSL_FLAG(std::string, output, "", "file to write; standard output if empty");
ABSL_FLAG(std::string, node, "", "operator address of a node, IP:PORT");
ABSL_FLAG(std::string, customer, "", "name of a customer; all if empty");
ABSL_FLAG(std::string,
          request,
          "",
          "id of a request to print the log lines of");
ABSL_FLAG(std::vector<std::string>,
          logs,
          {},
          "logs of nodes, separated by commas; standard input if empty");
ABSL_FLAG(bool, verbose, false, "log information messages, not only warnings");

namespace daisywinch {

namespace {

constexpr int kKeyBytes = 24;

/// Writes a file atomically: writes a temporary file and renames it. Writes to
/// standard output if the name is empty.
bool WriteFile(const std::string& name, const std::string& text) {
  if (name.empty()) {
    std::cout << text;
    return true;
  }
  const std::string temporary = name + ".new";
  std::ofstream file(temporary, std::ios::binary);
  file << text;
  file.close();
  std::error_code error;
  if (file) {
    std::filesystem::rename(temporary, name, error);
  }
  if (!file || error) {
    std::cerr << name << ": cannot be written; check the folder's rights\n";
    return false;
  }
  return true;
}

/// Reads a document from a file; prints all errors.
template <typename Document>
std::optional<Document> ReadDocument(
    const std::string& name,
    std::optional<Document> (*read)(const boost::json::value&,
                                    ValidationErrorList&)) {
  ValidationErrorList errors(name);
  const std::optional<std::string> text = ReadFile(name, errors);
  std::optional<Document> document;
  if (text) {
    document = ParseDocument(*text, read, errors);
  }
  std::cerr << errors.ToString();
  return document;
}

bool RequireFlag(const std::string& value, std::string_view name) {
  if (value.empty()) {
    std::cerr << "--" << name << " is missing; see \"daisywinch help\"\n";
  }
  return !value.empty();
}

/// Whether a settings file selects the mesh interface. Returns false without
/// reporting an error if the text is not JSON; the caller reports it.
bool IsMeshSettings(std::string_view text) {
  ValidationErrorList ignored("");
  const std::optional<boost::json::value> json = ParseJson(text, ignored);
  return json && json->is_object() && json->get_object().contains("interface");
}

/// Runs a node of either interface until it is shut down.
template <typename NodeType, typename SettingsType>
int RunNodeWith(const SettingsFile& file,
                std::optional<SettingsType> (*read)(const boost::json::value&,
                                                    ValidationErrorList&)) {
  ValidationErrorList errors(file.name);
  const std::optional<SettingsType> settings =
      ParseDocument(file.text, read, errors);
  std::cerr << errors.ToString();
  if (!settings) {
    return EXIT_FAILURE;
  }
  InitializeEventLog(absl::GetFlag(FLAGS_verbose) ? Severity::kInformation
                                                  : Severity::kWarning);
  MemoryBudget::ReturnFreedMemory();
  NodeType node(*settings, file);
  const int status = node.Run();
  FlushEventLog();
  // The log is written. Exit without running destructors, because closing
  // control sockets that peers still use can take long.
  std::_Exit(status);
}

int RunNode() {
  const std::string name = absl::GetFlag(FLAGS_settings);
  if (!RequireFlag(name, "settings")) {
    return EXIT_FAILURE;
  }
  ValidationErrorList errors(name);
  const std::optional<std::string> text = ReadFile(name, errors);
  if (!text) {
    std::cerr << errors.ToString();
    return EXIT_FAILURE;
  }
  const SettingsFile file{name, *text};
  return IsMeshSettings(*text) ? RunNodeWith<MeshNode>(file, ReadMeshSettings)
                               : RunNodeWith<Node>(file, ReadSettings);
}

/// Prints the differences between two configurations. Returns false if the next
/// one belongs to another deployment or its version is not above the previous.
bool ValidateSuccessor(const Configuration& previous,
                       const Configuration& next) {
  if (previous.deployment != next.deployment) {
    std::cerr << "/deployment: was \"" << previous.deployment
              << "\"; use the previous configuration of this deployment\n";
    return false;
  }
  const std::string difference = DescribeDifference(previous, next);
  std::cerr << "version " << previous.version << " -> " << next.version << "\n"
            << (difference.empty() ? "nothing else differs\n" : difference);
  if (next.version <= previous.version) {
    std::cerr << "/version: is not above " << previous.version
              << ", which is already published; start again from the answers "
                 "of that version and raise it to "
              << previous.version + 1 << "\n";
    return false;
  }
  return true;
}

int RunGenerate() {
  const std::string name = absl::GetFlag(FLAGS_answers);
  if (!RequireFlag(name, "answers")) {
    return EXIT_FAILURE;
  }
  const std::optional<Configuration> configuration =
      ReadDocument(name, GenerateConfiguration);
  if (!configuration) {
    return EXIT_FAILURE;
  }
  const std::string previous_name = absl::GetFlag(FLAGS_previous);
  if (!previous_name.empty()) {
    const std::optional<Configuration> previous =
        ReadDocument(previous_name, ReadConfiguration);
    if (!previous || !ValidateSuccessor(*previous, *configuration)) {
      return EXIT_FAILURE;
    }
  }
  const std::string text =
      boost::json::serialize(WriteConfiguration(*configuration)) + "\n";
  return WriteFile(absl::GetFlag(FLAGS_output), text) ? EXIT_SUCCESS
                                                      : EXIT_FAILURE;
}

int RunKeygen() {
  const std::string key = RandomHex(kKeyBytes);
  std::cout << "key:    " << key << "\ndigest: " << Sha256Hex(key) << "\n";
  return EXIT_SUCCESS;
}

int RunCheck() {
  int checked = 0;
  bool valid = true;
  const auto check = [&](const std::string& name, auto read) {
    if (!name.empty()) {
      ++checked;
      valid = ReadDocument(name, read).has_value() && valid;
    }
  };
  check(absl::GetFlag(FLAGS_settings), ReadSettings);
  check(absl::GetFlag(FLAGS_answers), GenerateConfiguration);
  check(absl::GetFlag(FLAGS_configuration), ReadConfiguration);
  if (checked == 0) {
    std::cerr << "nothing to check; name a file with --settings, --answers or "
                 "--configuration\n";
    return EXIT_FAILURE;
  }
  return valid ? EXIT_SUCCESS : EXIT_FAILURE;
}

/// Sends a request to the operator address of a node and prints the response.
int QueryNode(const std::string& target) {
  const std::string node = absl::GetFlag(FLAGS_node);
  if (!RequireFlag(node, "node")) {
    return EXIT_FAILURE;
  }
  const std::optional<Address> address = ParseAddress(node);
  if (!address) {
    std::cerr << "--node: is not an address; write an IP address and a port, "
                 "such as 10.0.0.7:8080\n";
    return EXIT_FAILURE;
  }
  OperatorClient client(*address);
  const std::optional<std::string> response = client.Get(target);
  if (!response) {
    std::cerr << node << ": " << client.LastError()
              << "; check that the node runs and that this is its operator "
                 "address\n";
    return EXIT_FAILURE;
  }
  std::cout << *response << "\n";
  return EXIT_SUCCESS;
}

int RunStatus() {
  return QueryNode("/status");
}

/// Prints the lines of one request from the logs of several nodes in
/// chronological order, each with the name of its log.
int ExplainRequest(const std::string& request) {
  std::vector<std::pair<std::string, std::string>> lines;
  const auto collect = [&](std::istream& input, const std::string& name) {
    std::string line;
    while (std::getline(input, line)) {
      if (line.find("request=\"" + request + "\"") != std::string::npos) {
        lines.emplace_back(line, name);
      }
    }
  };
  const std::vector<std::string> names = absl::GetFlag(FLAGS_logs);
  if (names.empty()) {
    collect(std::cin, "standard input");
  }
  for (const std::string& name : names) {
    std::ifstream file(name);
    if (!file) {
      std::cerr << name << ": cannot be read; check the name and its rights\n";
      return EXIT_FAILURE;
    }
    collect(file, name);
  }
  std::stable_sort(lines.begin(), lines.end());
  for (const auto& [line, name] : lines) {
    std::cout << line << " log=\"" << name << "\"\n";
  }
  if (lines.empty()) {
    std::cerr << "no line tells of request " << request
              << "; name the logs of all nodes with --logs, and see left_out "
                 "for lines that were not written\n";
  }
  return lines.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

int RunExplain() {
  const std::string request = absl::GetFlag(FLAGS_request);
  if (!request.empty()) {
    return ExplainRequest(request);
  }
  return QueryNode("/explain?customer=" + absl::GetFlag(FLAGS_customer));
}

constexpr std::array kCommands = {
    Command{"node", "runs the node of this VM",
            "daisywinch node --settings=FILE [--verbose]", RunNode},
    Command{"generate", "generates the configuration from the answers",
            "daisywinch generate --answers=FILE [--previous=FILE] "
            "[--output=FILE]",
            RunGenerate},
    Command{"keygen", "generates a key and its digest for the answers",
            "daisywinch keygen", RunKeygen},
    Command{"check", "validates settings, answers or a configuration",
            "daisywinch check [--settings=FILE] [--answers=FILE] "
            "[--configuration=FILE]",
            RunCheck},
    Command{"status", "prints the state that a node knows",
            "daisywinch status --node=IP:PORT", RunStatus},
    Command{"explain", "prints why the last requests were refused",
            "daisywinch explain --node=IP:PORT [--customer=NAME]\n  "
            "daisywinch explain --request=ID [--logs=FILE,...]",
            RunExplain},
};

}  // namespace

std::span<const Command> AllCommands() {
  return kCommands;
}

const Command* FindCommand(std::string_view name) {
  const auto found = std::find_if(
      kCommands.begin(), kCommands.end(),
      [name](const Command& command) { return command.name == name; });
  return found == kCommands.end() ? nullptr : &*found;
}

}  // namespace daisywinch
