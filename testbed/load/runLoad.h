#pragma once

namespace wagtailrack::testbed {

// The `load` subcommand: one open-loop run against a deployment, or the comparison of two result files.
int runLoad(int argumentCount, char** arguments);

}
