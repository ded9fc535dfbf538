// Package declaration holds the kinds that operators declare in TOML files
// under version control, and checks a set of them as a whole.
//
// A set is spread over any number of files. [Parse] decodes them strictly,
// joins them, and [Set.Check] finds every fault, not just the first:
//
//	set, faults := declaration.Parse(files)
//	for _, f := range faults {
//		fmt.Println(f) // models.toml:3: Models[0].Layers: must be at least 1
//	}
//
// Keys are written as the fields are named, in Pascal case.
package declaration
