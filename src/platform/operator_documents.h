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

/// What the operators of the platform write under one key of its store.
constexpr std::string_view kOperatorPrefix = "op/";
constexpr std::string_view kConfigurationKey = "op/config";
constexpr std::string_view kEvacuationPrefix = "op/evacuate/";
/// Under this and its id each target registers itself.
constexpr std::string_view kTargetPrefix = "servers/";

/// Reads the operators' configuration; records every fault and returns
/// nothing when there is one.
std::shared_ptr<const MeshConfiguration> DecodeConfiguration(
    std::string_view text,
    ValidationErrorList& errors);

/// Reads what a target says of itself; the id is the last part of its key.
/// Returns nothing and records the errors of an entry that names no target.
std::optional<MeshTarget> DecodeTarget(std::string_view id,
                                       std::string_view text,
                                       ValidationErrorList& errors);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_OPERATOR_DOCUMENTS_H
