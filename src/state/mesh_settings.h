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
///
/// A node serves one of two interfaces. On the handle interface, the default,
/// nodes exchange a Configuration and a VmList, and nested calls carry the
/// handle of the request that they belong to (HandleTable). On the mesh
/// interface, nodes read a MeshConfiguration and the targets from the
/// platform's store, and nested calls carry no reference to their request.
constexpr char kMeshInterface[] = "mesh";

/// Time limits and tolerances that the operators of a fleet set. Each may be
/// left out, as a fleet states only those of the features that it uses.
struct MeshBounds {
  /// Maximum time until a leaving target gets no more requests.
  Duration drain = std::chrono::seconds(2);
  /// Time between the stop signal and the end of the process.
  Duration grace = std::chrono::seconds(6);
  /// Maximum number of retries that a service may get per request to it. The
  /// default is the usual client retry budget ("Site Reliability Engineering",
  /// chapter 21).
  double retry_ratio = 0.1;
  /// Retries that a service may get beyond the ratio, over the whole fleet.
  double retry_slack = 0;
  /// Window over which the requests and retries of that limit are counted.
  Duration retry_window = std::chrono::seconds(10);
  /// Window over which a customer's requests are counted.
  Duration quota_window = std::chrono::seconds(5);
  /// Fraction by which a customer may exceed its rate and burst in a window.
  double quota_over = 0;
  /// Requests by which a customer may exceed that limit in addition.
  double quota_slack = 0;
  /// Maximum number of requests that a cold target withstands in one second, as
  /// a multiple of its service's cold rate.
  double cold_over = 1;
};

/// Local settings of one node with the mesh interface.
struct MeshSettings {
  std::string vm;
  std::string data_centre;
  std::string service;
  /// IP address of the VM; identifies the node to its peers.
  std::string ip;
  /// Where callers and the local target send requests.
  Address caller_address;
  /// Where peers send calls.
  Address peer_address;
  /// Port of the peer addresses of other nodes; defaults to the port of
  /// peer_address.
  std::uint16_t peer_port = 0;
  /// Where the platform queries whether the node accepts requests.
  Address ready_address;
  /// Where peers send datagrams; the port is the same on all VMs.
  Address news_address;
  /// Where operators read status and metrics.
  Address operator_address;
  Address target_address;
  Address platform_address;
  /// The whole fleet is starting for the first time.
  bool first_start = false;
  MeshBounds bounds;
};

/// Reads and validates settings for the mesh interface.
///
/// All errors are added to `errors`; returns nothing if there is one.
std::optional<MeshSettings> ReadMeshSettings(const boost::json::value& json,
                                             ValidationErrorList& errors);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_SETTINGS_H
