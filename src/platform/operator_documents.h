#ifndef DAISYWINCH_PLATFORM_OPERATOR_DOCUMENTS_H
#define DAISYWINCH_PLATFORM_OPERATOR_DOCUMENTS_H

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "state/mesh_configuration.h"
#include "state/mesh_view.h"
#include "state/validation_error_list.h"

namespace daisywinch::platform {

/// Keys and prefixes of the records that operators write to the platform's
/// store.
constexpr std::string_view kOperatorPrefix = "op/";
constexpr std::string_view kConfigurationKey = "op/config";
constexpr std::string_view kEvacuationPrefix = "op/evacuate/";
/// Prefix of the keys of targets' records; the rest of a key is the target's
/// id.
constexpr std::string_view kTargetPrefix = "servers/";

/// Decodes the operators' configuration. Adds all errors to the list and
/// returns null if there are any.
std::shared_ptr<const MeshConfiguration> DecodeConfiguration(
    std::string_view text,
    ValidationErrorList& errors);

/// Decodes the record of a target; `id` is the last part of its key. Returns
/// nothing and adds the errors to the list if the record is invalid.
std::optional<MeshTarget> DecodeTarget(std::string_view id,
                                       std::string_view text,
                                       ValidationErrorList& errors);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_OPERATOR_DOCUMENTS_H
