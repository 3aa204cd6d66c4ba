#pragma once

namespace wagtailrack::testbed {

// Measures how many look-ups a second one running instance answers over HTTP, and how long each takes.
int runLookupBench(int argumentCount, char** arguments);

}
