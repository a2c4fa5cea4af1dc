#pragma once

// Umbrella header of the state module: the configuration and the adapter slots of a backend server.
// Depends on: base, libcsv (to parse the sheet).

#include "lovageledge/state/configuration.hpp"
#include "lovageledge/state/sheet.hpp"
#include "lovageledge/state/sheet_parts.hpp"
#include "lovageledge/state/slot_table.hpp"
