#ifndef DAISYWINCH_NODE_OPERATOR_SERVICE_H
#define DAISYWINCH_NODE_OPERATOR_SERVICE_H

#include <cstdint>
#include <memory>
#include <string>

#include <boost/json.hpp>

#include "coordination/fleet_view.h"
#include "node/control_service.h"
#include "node/gate.h"
#include "node/ingress.h"
#include "state/settings.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Serves operators over HTTP: `/status` (JSON), `/explain` (recent refusals as
/// JSON, optionally of one customer) and `/metrics` (Prometheus text format).
///
/// Runs on the control thread. State of the ingress and the gate is read on
/// their threads.
class OperatorService {
 public:
  OperatorService(const Settings& settings,
                  std::uint64_t incarnation,
                  const FleetView& fleet_view,
                  const ControlService& control,
                  asio::io_context& ingress_context,
                  const Ingress& ingress,
                  asio::io_context& gate_context,
                  const Gate& gate);

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);

 private:
  Awaitable<std::string> Status();
  Awaitable<std::string> Explain(std::string customer);
  Awaitable<std::string> Metrics();

  const Settings& settings;
  std::uint64_t incarnation;
  const FleetView& fleet_view;
  const ControlService& control;
  asio::io_context& ingress_context;
  const Ingress& ingress;
  asio::io_context& gate_context;
  const Gate& gate;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_OPERATOR_SERVICE_H
