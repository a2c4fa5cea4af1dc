#pragma once

// Umbrella header of the state module: the configuration and what is known of a backend server's slots.
// Depends on: base, libcsv (the sheet).

#include "lovageledge/state/configuration.hpp"
#include "lovageledge/state/sheet.hpp"
#include "lovageledge/state/sheet_parts.hpp"
#include "lovageledge/state/slot_table.hpp"
