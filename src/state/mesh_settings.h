#ifndef DAISYWINCH_STATE_MESH_SETTINGS_H
#define DAISYWINCH_STATE_MESH_SETTINGS_H

#include <cstdint>
#include <optional>
#include <string>

#include <boost/json.hpp>

#include "state/clock.h"
#include "state/settings.h"
#include "state/validation_error_list.h"

namespace daisywinch {

/// Value of the setting "interface" that selects the mesh interface.
constexpr char kMeshInterface[] = "mesh";

/// Time bounds and allowances that the operators of a fleet state.
struct MeshBounds {
  /// Time in which a leaving target gets its last request.
  Duration drain = std::chrono::seconds(2);
  /// Time between the signal to stop and the end of the process.
  Duration grace = std::chrono::seconds(6);
  /// Repeats that a service may get for each request to it.
  double retry_ratio = 0;
  /// Repeats that a service may get beyond the ratio, over the whole fleet.
  double retry_slack = 0;
  Duration retry_window = std::chrono::seconds(10);
  /// Window over which a customer's requests are counted.
  Duration quota_window = std::chrono::seconds(5);
  /// Part by which a customer may exceed its rate and burst in a window.
  double quota_over = 0;
  /// Requests by which a customer may exceed that.
  double quota_slack = 0;
  /// Requests in one second that a cold target survives, as a multiple of the
  /// rate that its service states.
  double cold_over = 1;
};

/// What one node of the mesh interface is told by the VM it runs on.
struct MeshSettings {
  std::string vm;
  std::string data_centre;
  std::string service;
  /// IP number of the VM; names the node among its peers.
  std::string ip;
  /// Where callers and the target beside the node send requests.
  Address caller_address;
  /// Where other nodes send calls.
  Address peer_address;
  /// Port of the other nodes' peer addresses; the own one unless set.
  std::uint16_t peer_port = 0;
  /// Where the platform asks whether the node takes requests.
  Address ready_address;
  /// Where other nodes send datagrams; the port is the same on all VMs.
  Address news_address;
  /// Where operators read status and metrics.
  Address operator_address;
  Address target_address;
  Address platform_address;
  /// The whole fleet starts for the first time.
  bool first_start = false;
  MeshBounds bounds;
};

/// Reads and validates settings of the mesh interface; records every fault.
std::optional<MeshSettings> ReadMeshSettings(const boost::json::value& json,
                                             ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_SETTINGS_H
