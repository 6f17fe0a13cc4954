#include "state/mesh_settings.h"

#include "state/duration.h"
#include "state/object_reader.h"

namespace daisywinch {

namespace {

constexpr NumberRange kRatioRange = {0, 100};
constexpr NumberRange kPortRange = {1, 65535};
constexpr NumberRange kCountRange = {0, 1e6};

/// A duration, or the fallback if the field is missing or empty.
Duration ReadDuration(ObjectReader& reader,
                      std::string_view name,
                      Duration fallback) {
  if (!reader.HasText(name)) {
    return fallback;
  }
  const std::optional<Duration> duration = ParseDuration(reader.String(name));
  if (!duration) {
    reader.AddError(name, "is not a duration",
                    "write a number and its unit, such as \"2.5s\" or "
                    "\"200ms\"");
  }
  return duration.value_or(fallback);
}

/// Bounds that a deployment doesn't state keep their defaults.
MeshBounds ReadBounds(ObjectReader& reader) {
  MeshBounds bounds;
  bounds.drain = ReadDuration(reader, "drain", bounds.drain);
  bounds.grace = ReadDuration(reader, "grace", bounds.grace);
  bounds.retry_ratio =
      reader.NumberOrText("retry_ratio", kRatioRange, bounds.retry_ratio);
  bounds.retry_slack =
      reader.NumberOrText("retry_slack", kCountRange, bounds.retry_slack);
  bounds.retry_window =
      ReadDuration(reader, "retry_window", bounds.retry_window);
  bounds.quota_window =
      ReadDuration(reader, "quota_window", bounds.quota_window);
  bounds.quota_over =
      reader.NumberOrText("quota_over", kRatioRange, bounds.quota_over);
  bounds.quota_slack =
      reader.NumberOrText("quota_slack", kCountRange, bounds.quota_slack);
  bounds.cold_over =
      reader.NumberOrText("cold_over", kRatioRange, bounds.cold_over);
  return bounds;
}

}  // namespace

std::optional<MeshSettings> ReadMeshSettings(const boost::json::value& json,
                                             ValidationErrorList& errors) {
  MeshSettings settings;
  ObjectReader reader(json, "", errors);
  const std::string interface = reader.String("interface");
  if (interface != kMeshInterface) {
    reader.AddError("interface", "is not known",
                    "write \"mesh\", or leave the field out for the handle "
                    "interface");
  }
  settings.vm = reader.String("vm");
  settings.data_centre = reader.String("data_centre");
  settings.service = reader.String("service");
  settings.caller_address = ReadAddress(reader, "caller_address");
  settings.peer_address = ReadAddress(reader, "peer_address");
  settings.peer_port = static_cast<std::uint16_t>(
      reader.Integer("peer_port", kPortRange, settings.peer_address.port));
  settings.ready_address = ReadAddress(reader, "ready_address");
  settings.news_address = ReadAddress(reader, "news_address");
  settings.operator_address = ReadAddress(reader, "operator_address");
  settings.target_address = ReadAddress(reader, "target_address");
  settings.platform_address = ReadAddress(reader, "platform_address");
  settings.ip = settings.peer_address.ip;
  settings.first_start = reader.Boolean("first_start", false);
  if (reader.Has("bounds")) {
    ObjectReader bounds_reader = reader.Object("bounds");
    settings.bounds = ReadBounds(bounds_reader);
    bounds_reader.ReportUnknownFields();
  }
  reader.ReportUnknownFields();
  if (!errors.empty()) {
    return std::nullopt;
  }
  return settings;
}

}  // namespace daisywinch
