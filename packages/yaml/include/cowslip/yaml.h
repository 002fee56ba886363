#pragma once

/// @file Public header of the yaml library: validating reader of YAML maps.

#include "cowslip/yaml/map_reader.h"  // IWYU pragma: export
#include "cowslip/yaml/yaml_error.h"  // IWYU pragma: export
